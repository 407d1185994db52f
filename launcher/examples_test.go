package launcher

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"geraniumline/loader"
)

// Operators start from the files in docs/examples, so these must have no faults.
func TestExamplesHaveNoFaults(t *testing.T) {
	files, err := filepath.Glob("../docs/examples/*.json")
	require.NoError(t, err)
	require.Len(t, files, 5)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			src, err := os.ReadFile(file)
			require.NoError(t, err)
			if loader.IsObjectFile(src) {
				_, err = parseAndCheckObjects(src)
			} else {
				_, err = loader.Parse(src)
			}
			require.NoError(t, err)
		})
	}
}

// A contract refers to pipelines that are in none of the files. Publishing would refuse such objects one by one; check
// --whole must report the fault with its position before that.
func TestCheckWholeConfiguration(t *testing.T) {
	const pools, pipelines, contract = "../docs/examples/pools.json", "../docs/examples/pipelines.json", "../docs/examples/contract.json"
	for _, s := range []struct {
		testName string
		args     []string
		code     ExitCode
		wantErr  string
	}{
		{"whole", []string{"--whole", contract, pipelines, pools}, ExitOK, ""},
		{"pipelines are missing", []string{"--whole", contract, pools}, ExitUsage, `contract.json:11:16: body.pipelines[0]: there is no pipeline "case-summary"`},
		{"each file by itself", []string{contract, pools}, ExitOK, ""},
	} {
		t.Run(s.testName, func(t *testing.T) {
			code, _, stderr := newConsole(t).run(append([]string{"check"}, s.args...)...)
			require.Equal(t, s.code, code)
			require.Contains(t, stderr, s.wantErr)
		})
	}
}
