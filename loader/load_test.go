package loader

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
)

const (
	testKey  = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
	testHash = "ffeeddccbbaa99887766554433221100ffeeddccbbaa99887766554433221100"
)

// requiredSettings is a settings file with all required fields.
const requiredSettings = `{
	// One of seven.
	"name": "entry-1",
	"zone": "zone-a",
	"region": "region-1",
	"callerAddress": "127.0.0.1:8001",
	"operatorAddress": "127.0.0.1:8002",
	"peerAddress": "127.0.0.1:8003",
	"seedPeers": ["127.0.0.1:8003", "127.0.0.2:8003"],
	"logUrl": "http://127.0.0.1:9000",
	"vmsUrl": "http://127.0.0.1:9000",
	"sharedKey": "` + testKey + `",
	"operators": [{"name": "asha", "credentialSha256": "` + testHash + `"}],
}`

func TestParseFaults(t *testing.T) {
	scenarios := []struct {
		testName string
		old      string
		new      string
	}{
		{"not JSON", `"zone-a"`, `zone-a`},
		{"not an object", requiredSettings, `[]`},
		{"empty object", requiredSettings, `{}`},
		{"unknown field", `"region"`, `"colour": "red", "Zone": "x", "region"`},
		{"field given twice", `"region"`, `"zone": "zone-b", "region"`},
		{"wrong units", `"region"`, `"heartbeatSeconds": 1, "deadMs": 2, "drain": 3, "heartbeatMillis": "5s", "suspectMillis": 1.5, "deadMillis": 1e12, "region"`},
		{"address is a host name", `"127.0.0.1:8001"`, `"localhost:8001"`},
		{"address without a port", `"127.0.0.2:8003"`, `"127.0.0.2"`},
		{"same address twice", `"127.0.0.1:8002"`, `"127.0.0.1:8001"`},
		{"zone missing", `"zone": "zone-a",`, ``},
		{"zone empty", `"zone-a"`, `""`},
		{"key too short", testKey + `",`, `0011",`},
		{"key missing", `"sharedKey": "` + testKey + `",`, ``},
		{"two keys", `"region"`, `"sharedKeyFile": "key", "region"`},
		{"duplicate operator name", `"operators": [`, `"operators": [{"name": "asha", "credentialSha256": "12"}, {"nam": "x"}, `},
		{"timeouts out of order", `"region"`, `"heartbeatMillis": 800, "deadMillis": 900, "region"`},
		{"drain shorter than suspect time", `"region"`, `"drainMillis": 999, "region"`},
		{"memory too small for a body", `"region"`, `"maxBodyBytes": 4194304, "memoryBytes": 134217727, "region"`},
		{"certificate without its key", `"region"`, `"tls": {"caller": {"certFile": "c.pem"}}, "region"`},
		{"field name with terminal escape", `"region"`, `"\u001b[31m` + strings.Repeat("x", 99) + `": 1, "region"`},
	}
	var got strings.Builder
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			require.Contains(t, requiredSettings, s.old)
			_, err := Parse([]byte(strings.Replace(requiredSettings, s.old, s.new, 1)))
			var faults *FaultsError
			require.ErrorAs(t, err, &faults)
			fmt.Fprintf(&got, "# %s\n%s\n\n", s.testName, err)
		})
	}
	goldie.New(t).Assert(t, "faults", []byte(got.String()))
}

func TestParseAppliesDefaultsToMissingFields(t *testing.T) {
	text := strings.Replace(requiredSettings, `"region"`, `"heartbeatMillis": 100, "traces": {"kept": 5}, "region"`, 1)
	got, err := Parse([]byte(text))
	require.NoError(t, err)
	require.Equal(t, Millis(100), got.HeartbeatMillis)
	require.Equal(t, Traces{Kept: 5, QueueSize: Defaults().Traces.QueueSize}, got.Traces)
	require.Equal(t, Defaults().MaxBodyBytes, got.MaxBodyBytes)
	require.Equal(t, "127.0.0.1:8003", got.PeerAdvertiseAddress())
	require.Len(t, got.Key(), 32)
}

func TestLoadReadsKeyFile(t *testing.T) {
	dir := t.TempDir()
	keyFile := filepath.Join(dir, "key")
	require.NoError(t, os.WriteFile(keyFile, []byte(testKey+"\n"), 0o600))
	settingsFile := filepath.Join(dir, "settings.json")
	text := strings.Replace(requiredSettings, `"sharedKey": "`+testKey+`"`, fmt.Sprintf(`"sharedKeyFile": %q`, keyFile), 1)
	require.NoError(t, os.WriteFile(settingsFile, []byte(text), 0o600))

	got, err := Load(settingsFile)
	require.NoError(t, err)
	require.Len(t, got.Key(), 32)

	require.NoError(t, os.WriteFile(keyFile, []byte("not hex, but secret"), 0o600))
	_, err = Load(settingsFile)
	require.ErrorContains(t, err, "sharedKeyFile: in the file it names: want hex digits")
	require.NotContains(t, err.Error(), "secret")

	_, err = Load(filepath.Join(dir, "none"))
	var unreadable *UnreadableError
	require.ErrorAs(t, err, &unreadable)
	require.ErrorIs(t, err, os.ErrNotExist)
}

// An operator pastes a key into the wrong field or forgets its quotes. Faults are printed on terminals and may be copied
// elsewhere, so no message may quote text from the file that could be the key, whichever field contains it.
func TestFaultsNeverShowSecrets(t *testing.T) {
	const secret = "5ec2e75ec2e75ec2e75ec2e7"
	for _, text := range []string{
		`{"sharedKey": ` + secret + `}`,
		`{"sharedKey": "` + secret + `"}`,
		`{"sharedKey": "` + secret + `zz"}`,
		`{"sharedKey": "` + secret + `\x"}`,
		`{"sharedKey": 52752752752752}`,
		`{"sharedKey": ["` + secret + `"]}`,
		`{"heartbeatMillis": "` + secret + `"}`,
		`{"operators": [{"credentialSha256": "` + secret + `"}]}`,
		`{"operators": "` + secret + `"}`,
		`{"logUrl": "http://user:` + secret + `@127.0.0.1:1"}`,
	} {
		_, err := Parse([]byte(text))
		require.Error(t, err, text)
		require.NotContains(t, err.Error(), "5ec2e7", text)
		require.NotContains(t, err.Error(), "527527", text)
	}
	settings, err := Parse([]byte(requiredSettings))
	require.NoError(t, err)
	for _, verb := range []string{"%v", "%+v", "%#v", "%s"} {
		require.NotContains(t, fmt.Sprintf(verb, settings), testKey, verb+" of the shared key")
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(requiredSettings))
	f.Add([]byte(`{"operators": [{}], "traces": {"kept": -1}, "tls": {"caller": null}}`))
	f.Add([]byte("{\"name\": \"\x1b\", // x\n/* y */ \"seedPeers\": [[[1e999]]]}"))
	f.Add([]byte(`{"heartbeatMillis": 99999999999999999999}`))
	f.Fuzz(func(t *testing.T, src []byte) {
		settings, err := Parse(src)
		if err == nil {
			require.NotEmpty(t, settings.Name)
			require.NotEmpty(t, settings.Key())
			return
		}
		var faults *FaultsError
		require.ErrorAs(t, err, &faults)
		require.NotEmpty(t, faults.Faults)
		lines := strings.Count(string(src), "\n") + 1
		for _, fault := range faults.Faults {
			require.LessOrEqual(t, fault.Line, lines)
			require.NotEmpty(t, fault.Message)
		}
	})
}
