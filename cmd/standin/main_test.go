package main

import (
	"bytes"
	"context"
	"io"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCommandLine(t *testing.T) {
	scenarios := []struct {
		testName     string
		args         []string
		expectedCode int
		expectedText string
	}{
		{"no stand-in", []string{}, exitUsage, "unknown stand-in"},
		{"unknown stand-in", []string{"cache"}, exitUsage, `unknown stand-in "cache"`},
		{"unknown flag", []string{"log", "--speed", "1"}, exitUsage, "speed"},
		{"malformed number", []string{"engine", "--slots", "x"}, exitUsage, "slots"},
		{"out of range", []string{"log", "--hole-rate", "2"}, exitUsage, "holeRate is 2, want a share from 0 to 1"},
		{"unknown kind", []string{"service", "--kind", "cache"}, exitUsage, `kind is "cache"`},
		{"malformed VM", []string{"vms", "--vm", "127.0.0.1:1,z1"}, exitUsage, "want host:port,zone,pool"},
		{"malformed weight store", []string{"engine", "--weights", "here"}, exitUsage, "want http://host:port"},
		{"unexpected argument", []string{"weights", "now"}, exitUsage, `unexpected argument "now"`},
		{"malformed address", []string{"log", "--listen", "nowhere"}, exitFailed, "nowhere"},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			var stderr bytes.Buffer
			args := append([]string{"standin"}, s.args...)
			require.Equal(t, s.expectedCode, run(context.Background(), args, io.Discard, &stderr))
			require.Contains(t, stderr.String(), s.expectedText)
		})
	}
}

// stopOnReady cancels the program's context when the ready line is written.
type stopOnReady struct {
	bytes.Buffer
	stop context.CancelFunc
}

func (w *stopOnReady) Write(p []byte) (int, error) {
	w.stop()
	return w.Buffer.Write(p)
}

func TestEachStandInServesAndStops(t *testing.T) {
	for _, kind := range []string{"log", "vms", "engine", "service", "weights"} {
		t.Run(kind, func(t *testing.T) {
			ctx, stop := context.WithCancel(context.Background())
			stdout := &stopOnReady{stop: stop}
			var stderr bytes.Buffer
			require.Equal(t, 0, run(ctx, []string{"standin", kind}, stdout, &stderr), stderr.String())
			require.Contains(t, stdout.String(), `{"ready":true,"address":"127.0.0.1:`)
		})
	}
}
