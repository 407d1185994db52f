package launcher

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"geraniumline/guarder"
	"geraniumline/loader"
)

const (
	testCredential = "c2VjcmV0LWNyZWRlbnRpYWw"
	testKey        = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
)

// console runs commands with a fake clock that only Wait advances.
type console struct {
	t     *testing.T
	cfg   Config
	now   time.Time
	waits []time.Duration
}

func newConsole(t *testing.T) *console {
	c := &console{t: t, now: time.Unix(1_800_000_000, 0)}
	c.cfg.Now = func() time.Time { return c.now }
	c.cfg.Wait = func(ctx context.Context, d time.Duration) error {
		c.now = c.now.Add(d)
		c.waits = append(c.waits, d)
		return ctx.Err()
	}
	return c
}

// run returns the exit code and both outputs. It fails the test if an output contains the credential or the key.
func (c *console) run(args ...string) (code ExitCode, stdout, stderr string) {
	c.t.Helper()
	var out, err bytes.Buffer
	cfg := c.cfg
	cfg.Stdout, cfg.Stderr = &out, &err
	if cfg.Stdin == nil {
		cfg.Stdin = strings.NewReader("")
	}
	code = Run(context.Background(), cfg, append([]string{"geraniumline"}, args...))
	for _, secret := range []string{testCredential, testKey} {
		require.NotContains(c.t, out.String()+err.String(), secret)
	}
	return code, out.String(), err.String()
}

// writeFile writes a file to a temporary directory and returns its path.
func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestHelp(t *testing.T) {
	commands := []string{
		"", "entry", "explain", "outcomes", "check", "config", "config publish", "config get", "config diff", "config history",
		"config remove", "config operation", "contract", "contract set", "contract get", "contract list",
		"stop", "status", "request", "trace", "credential new", "key new",
	}
	var all strings.Builder
	for _, command := range commands {
		code, stdout, stderr := newConsole(t).run(append(strings.Fields(command), "--help")...)
		require.Equal(t, ExitOK, code)
		require.Empty(t, stderr)
		all.WriteString("$ geraniumline " + command + " --help\n" + stdout + "\n")
	}
	goldie.New(t).Assert(t, "help", []byte(all.String()))
}

func TestWrongUsage(t *testing.T) {
	scenarios := []struct {
		testName string
		args     string
		want     string
	}{
		{"unknown command", "bogus", `there is no command "bogus"`},
		{"unknown subcommand", "config bogus", `there is no command "bogus"`},
		{"unknown flag", "status --jsno", "flag provided but not defined: -jsno; see geraniumline status --help"},
		{"required flag", "entry", `Required flag "settings" not set`},
		{"no address", "status", "--address is not given"},
		{"credential file missing", "status --address 127.0.0.1:1 --user u --credential-file /nonexistent", "--credential-file: open /nonexistent"},
		{"nothing to check", "check", "name the files to check"},
		{"no pipeline", "request hello", "--pipeline is not given"},
		{"trace without an id", "trace", "give one id"},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			code, stdout, stderr := newConsole(t).run(strings.Fields(s.args)...)
			require.Equal(t, ExitUsage, code)
			require.Empty(t, stdout)
			require.Contains(t, stderr, s.want)
		})
	}
}

const goodSettings = `{
	"name": "entry-1", "zone": "zone-a", "region": "region-1",
	"callerAddress": "127.0.0.1:8001", "operatorAddress": "127.0.0.1:8002", "peerAddress": "127.0.0.1:8003",
	"logUrl": "http://127.0.0.1:9000", "vmsUrl": "http://127.0.0.1:9000",
	"sharedKey": "` + testKey + `",
	"operators": [{"name": "asha", "credentialSha256": "ffeeddccbbaa99887766554433221100ffeeddccbbaa99887766554433221100"}],
}`

func TestCheck(t *testing.T) {
	settings := writeFile(t, "settings.json", goodSettings)
	bad := writeFile(t, "bad.json", strings.Replace(goodSettings, `"zone": "zone-a"`, `"zonee": "zone-a", "deadMillis": "3s"`, 1))
	objects := writeFile(t, "objects.json", `[
	{"kind": "pool", "name": "engine", "body": {"kind": "engine", "slotsPerEndpoint": 8}},
	{"kind": "pool", "name": "rerank", "body": {
		"kind": "rocket",
		"slotsPerEndpoint": 0,
	}},
]`)
	code, stdout, stderr := newConsole(t).run("check", settings)
	require.Equal(t, ExitOK, code)
	require.Equal(t, settings+": settings, no faults\n", stdout)
	require.Empty(t, stderr)

	code, stdout, stderr = newConsole(t).run("check", settings, bad, objects, "/nonexistent")
	require.Equal(t, ExitUsage, code)
	require.Equal(t, settings+": settings, no faults\n", stdout)
	shortened := strings.NewReplacer(filepath.Dir(bad), "DIR", filepath.Dir(objects), "DIR").Replace(stderr)
	goldie.New(t).Assert(t, "check", []byte(shortened))

	code, stdout, _ = newConsole(t).run("check", "--json", bad)
	require.Equal(t, ExitUsage, code)
	require.Contains(t, stdout, `"path": "zonee"`)
	require.Contains(t, stdout, `"line": 2`)
}

// Runs an entry with valid settings, on a port that is in use, with a failure at run time, and with faulty settings.
// The exit code must distinguish faulty settings and a port in use from a crash, and neither the key nor a
// credential's hash may be logged, even if the settings are logged as a whole.
func TestEntry(t *testing.T) {
	c := newConsole(t)
	var got loader.Settings
	var result error
	c.cfg.RunEntry = func(_ context.Context, s loader.Settings, log *zap.Logger) error {
		got = s
		log.Info("settings", zap.Any("settings", s), zap.Reflect("reflected", s), zap.Stringer("key", s.SharedKey))
		log.Debug("below the level")
		return result
	}
	settings := writeFile(t, "settings.json", goodSettings)
	code, stdout, stderr := c.run("entry", "--settings", settings)
	require.Equal(t, ExitOK, code)
	require.Empty(t, stdout)
	require.Equal(t, "entry-1", got.Name)
	require.Contains(t, stderr, `"msg":"settings"`)
	require.NotContains(t, stderr, "below")

	result = errors.Join(&guarder.ListenError{Field: "callerAddress", Address: "127.0.0.1:8001", Err: os.ErrPermission})
	code, _, stderr = c.run("entry", "--settings", settings)
	require.Equal(t, ExitUsage, code)
	require.Contains(t, stderr, "callerAddress: can't listen on 127.0.0.1:8001")

	result = errors.New("the core stopped")
	code, _, _ = c.run("entry", "--settings", settings)
	require.Equal(t, ExitFailed, code)

	code, _, stderr = c.run("entry", "--settings", writeFile(t, "bad.json", `{"zone": 7}`))
	require.Equal(t, ExitUsage, code)
	require.Contains(t, stderr, "bad.json:1:10: zone: want text in quotes, got a number of another kind")
	require.Contains(t, stderr, "bad.json:1:1: name: missing")
}

func TestCredentialAndKey(t *testing.T) {
	code, stdout, _ := newConsole(t).run("credential", "new")
	require.Equal(t, ExitOK, code)
	require.Regexp(t, `^credential        [A-Za-z0-9_-]{43}\ncredentialSha256  [0-9a-f]{64}\n$`, stdout)
	code, stdout, _ = newConsole(t).run("key", "new", "--shared")
	require.Equal(t, ExitOK, code)
	require.Regexp(t, `^[0-9a-f]{64}\n$`, stdout)
	code, stdout, _ = newConsole(t).run("key", "new")
	require.Equal(t, ExitOK, code)
	require.Regexp(t, `^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-`, stdout)
}

// Guards against a share that leaves clients or their requests nothing.
func TestSharesOfClientsAreChecked(t *testing.T) {
	for _, flag := range []string{"--client-memory-share", "--client-socket-share"} {
		for _, share := range []string{"0", "0.04", "0.51", "-1", "NaN"} {
			code, _, stderr := newConsole(t).run("forward", "--settings", "none.json", flag, share)
			require.Equal(t, ExitUsage, code)
			require.Contains(t, stderr, flag)
		}
	}
}
