package forwarder

import (
	"testing"

	"github.com/stretchr/testify/require"

	"geraniumline/cataloger"
)

// Guards against streams that go on at another service of a split route than the one that began them.
func TestStreamsAreResumedAtTheirService(t *testing.T) {
	route := &cataloger.Route{Targets: []cataloger.Target{{Service: "a", Weight: 50}, {Service: "b", Weight: 50}}}
	services := make(map[string]int)
	for i := range 40 {
		first := Request{ID: string(rune('a' + i))}
		again := Request{ID: "again " + first.ID, LastEvent: "2", Resumes: first.ID}
		require.Equal(t, route.Target(first.targetSeed()), route.Target(again.targetSeed()))
		services[route.Target(first.targetSeed())]++
		anew := Request{ID: first.ID, Resumes: "another"}
		require.Equal(t, first.targetSeed(), anew.targetSeed(), "a new stream")
	}
	require.Len(t, services, 2)
}
