package reducer_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// block returns a text that fills one of the blocks by which engines cache prompts.
func block(text string) string { return text + strings.Repeat(".", 64-len(text)) }

// Guards against inputs with the same beginning that crash one endpoint after the other, though no two are alike.
func TestAPrefixThatCrashesEndpointsIsHeldBack(t *testing.T) {
	const (
		// knownCrashes, contactTime and allowedCrashes bound the crashes: from contactTime after the first ones on.
		knownCrashes   = 5
		contactTime    = 3 * time.Second
		allowedCrashes = 3
	)
	cfg := threePools(4)
	cfg.perPool = 12
	s := newSystem(t, cfg)
	s.runFor(2 * time.Second)
	header := block("the system prompt that all requests share")
	send := func(i int, input string) *simRequest {
		return s.send(i%len(s.entries), header+input+block(fmt.Sprintf("question %d", i))+"tail", 2*time.Second)
	}
	for i := 0; i < 40 && s.crashCount() < knownCrashes; i++ {
		send(i, block(crashInput))
		s.runFor(300 * time.Millisecond)
	}
	s.runFor(contactTime)
	before := s.crashCount()
	var sound []*simRequest
	for i := range 20 {
		send(100+i, block(crashInput))
		sound = append(sound, send(200+i, block("nothing wrong")))
		s.runFor(300 * time.Millisecond)
	}
	s.runFor(4 * time.Second)
	require.LessOrEqual(t, s.crashCount()-before, allowedCrashes)
	for _, a := range sound {
		require.True(t, a.answered(), "a request that shares all but the prefix is answered: %s", a.code)
	}
}
