package assembler

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/platform/imitator"
)

// Guards against requests that run with any key, which is passed on to the endpoint, once no client account has a key left.
func TestNoRequestRunsOnceTheLastKeyIsRevoked(t *testing.T) {
	for _, tc := range []struct {
		name   string
		revoke func(site *imitator.Site)
	}{
		{"the account has an empty list of keys", func(site *imitator.Site) { site.Tenants[0]["ApiKeys"] = []string{} }},
		{"the account has no list of keys", func(site *imitator.Site) { delete(site.Tenants[0], "ApiKeys") }},
		{"no account is left", func(site *imitator.Site) { site.Tenants = []map[string]any{} }},
		{"the list of accounts is null", func(site *imitator.Site) { site.Tenants = nil }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(t, 2)
			tc.revoke(f.site)
			f.site.Configure()
			for entry := range f.nodes {
				require.Eventually(t, func() bool {
					return f.call(f.newRequest(entry, imitator.PlainPath, "before")).Status == http.StatusUnauthorized
				}, waitTimeout, 10*time.Millisecond)
				for _, key := range []string{imitator.Key, "never-issued", ""} {
					request := f.newRequest(entry, imitator.PlainPath, "after")
					request.Key = key
					require.Equal(t, http.StatusUnauthorized, f.call(request).Status)
				}
			}
			require.Empty(t, f.runs("after"))
		})
	}
}
