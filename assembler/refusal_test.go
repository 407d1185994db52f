package assembler

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"geraniumline/caller"
)

// An invalid request must be refused with a code that names the error and an outcome that says that nothing ran.
// The endpoints' ledgers must stay empty.
func TestInvalidRequestsAreRefusedAndNotRun(t *testing.T) {
	e := startEntry(t, 8)
	old := uuidV7At(t, time.Now().Add(-2*time.Hour))
	future := uuidV7At(t, time.Now().Add(time.Hour))
	good := `{"input":"x","deadlineMillis":1000}`
	scenarios := []struct {
		testName   string
		account    string
		credential string
		pipeline   string
		key        string
		body       string
		status     int
		code       string
	}{
		{"no credential", "", "", "summary", "k", good, 401, "noCredential"},
		{"unknown account", "nobody", "x", "summary", "k", good, 401, "unknownAccount"},
		{"wrong credential", testAccount, "x", "summary", "k", good, 401, "wrongCredential"},
		{"another account's credential", testAccount, otherAccount + testCredential, "summary", "k", good, 401, "wrongCredential"},
		{"unknown pipeline", testAccount, "", "nothing", "k", good, 404, "unknownPipeline"},
		{"pipeline not in the contract", otherAccount, "", "ticket", "k", good, 403, "pipelineNotInContract"},
		{"no key", testAccount, "", "summary", "", good, 400, "badRequest"},
		{"key with a space", testAccount, "", "summary", "a b", good, 400, "badRequest"},
		{"key too long", testAccount, "", "summary", strings.Repeat("k", 129), good, 400, "badRequest"},
		{"side effect under a key without a time", testAccount, "", "ticket", "k", good, 400, "unsupportedKey"},
		{"key older than its horizon", testAccount, "", "ticket", old, good, 410, "keyTooOld"},
		{"key from the future", testAccount, "", "ticket", future, good, 400, "keyFromFuture"},
		{"malformed JSON", testAccount, "", "summary", "k", `{"input":`, 400, "badRequest"},
		{"not JSON", testAccount, "", "summary", "k", `input=x`, 400, "badRequest"},
		{"empty body", testAccount, "", "summary", "k", ``, 400, "badRequest"},
		{"unknown field", testAccount, "", "summary", "k", `{"input":"x","deadlineMillis":1000,"urgent":true}`, 400, "badRequest"},
		{"no deadline", testAccount, "", "summary", "k", `{"input":"x"}`, 400, "badRequest"},
		{"deadline passed", testAccount, "", "summary", "k", `{"input":"x","deadlineMillis":0}`, 400, "badRequest"},
		{"negative deadline", testAccount, "", "summary", "k", `{"input":"x","deadlineMillis":-5}`, 400, "badRequest"},
		{"deadline too long", testAccount, "", "summary", "k", `{"input":"x","deadlineMillis":99999999}`, 400, "badRequest"},
		{"deadline too short for the stages", testAccount, "", "summary", "k", `{"input":"x","deadlineMillis":1}`, 503, "cannotFinishInTime"},
		{"oversize input", testAccount, "", "summary", "k", `{"input":"` + strings.Repeat("x", 300_000) + `","deadlineMillis":1000}`, 400, "badRequest"},
		{"oversize body", testAccount, "", "summary", "k", `{"input":"` + strings.Repeat("x", 2<<20) + `","deadlineMillis":1000}`, 413, "bodyTooLarge"},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			request, err := http.NewRequest(http.MethodPost, "http://"+e.caller+"/v1/pipelines/"+s.pipeline+"/requests", strings.NewReader(s.body))
			require.NoError(t, err)
			credential := s.credential
			if credential == "" {
				credential = s.account + testCredential
			}
			if s.account != "" {
				request.SetBasicAuth(s.account, credential)
			}
			if s.key != "" {
				request.Header.Set("Idempotency-Key", s.key)
			}
			request.Header.Set("Content-Type", "application/json")
			response, err := http.DefaultClient.Do(request)
			require.NoError(t, err)
			body, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			var failure struct{ Code, Message, Outcome string }
			require.NoError(t, json.Unmarshal(body, &failure), string(body))
			require.Equal(t, s.code, failure.Code, failure.Message)
			require.Equal(t, s.status, response.StatusCode)
			outcome := "notRun"
			if s.code == "keyTooOld" {
				outcome = "unknown" // nothing ran now, but an earlier request with this key may have
			}
			require.Equal(t, outcome, failure.Outcome)
			require.NotEmpty(t, failure.Message)
			require.NotContains(t, failure.Message, testCredential)
			require.Zero(t, e.executions())
		})
	}
}

// uuidV7At returns a version 7 UUID with the given time.
func uuidV7At(t *testing.T, at time.Time) string {
	key := uuid.Must(uuid.NewV7())
	millis := at.UnixMilli()
	for i := range 6 {
		key[i] = byte(millis >> (40 - 8*i))
	}
	require.Equal(t, uuid.Version(7), key.Version())
	return key.String()
}

// A caller that knows an idempotency key of another account queries its outcome and sends a request with it. Keys are
// scoped by account, so the key must be unknown in the query, and the request must run as one of the caller's own.
func TestIdempotencyKeysAreScopedByAccount(t *testing.T) {
	e := startEntry(t, 8)
	owner := caller.New(caller.Config{Account: testAccount, Credential: testAccount + testCredential, Entries: []string{e.caller}})
	other := caller.New(caller.Config{Account: otherAccount, Credential: otherAccount + testCredential, Entries: []string{e.caller}})
	answer, err := owner.SendTo(t.Context(), e.caller, caller.Request{Pipeline: "summary", Key: "shared", Input: "mine", Deadline: 5 * time.Second})
	require.NoError(t, err)
	outcome, err := owner.OutcomeAt(t.Context(), e.caller, "shared")
	require.NoError(t, err)
	require.Equal(t, answer.Text, outcome.Answer.Value)
	_, err = other.OutcomeAt(t.Context(), e.caller, "shared")
	var failed *caller.RequestError
	require.ErrorAs(t, err, &failed)
	require.Equal(t, "unknownKey", failed.Code)
	own, err := other.SendTo(t.Context(), e.caller, caller.Request{Pipeline: "summary", Key: "shared", Input: "theirs", Deadline: 5 * time.Second})
	require.NoError(t, err)
	require.NotEqual(t, answer.Text, own.Text)
}

// A request with an unknown path or a wrong method must get the API's JSON error, not a plain text page.
func TestWrongPathAndMethod(t *testing.T) {
	e := startEntry(t, 8)
	for _, s := range []struct {
		testName, method, path string
		status                 int
		code                   string
	}{
		{"unknown path", http.MethodGet, "/v2/addresses", 404, "unknownPath"},
		{"wrong method", http.MethodDelete, "/v1/addresses", 405, "wrongMethod"},
	} {
		t.Run(s.testName, func(t *testing.T) {
			request, err := http.NewRequest(s.method, "http://"+e.caller+s.path, nil)
			require.NoError(t, err)
			request.SetBasicAuth(testAccount, testAccount+testCredential)
			response, err := http.DefaultClient.Do(request)
			require.NoError(t, err)
			defer func() { _ = response.Body.Close() }()
			var failure struct{ Code, Outcome string }
			require.NoError(t, json.NewDecoder(response.Body).Decode(&failure))
			require.Equal(t, s.status, response.StatusCode)
			require.Equal(t, s.code, failure.Code)
			require.Equal(t, "notRun", failure.Outcome)
		})
	}
}
