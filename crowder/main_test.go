package crowder

import (
	"fmt"
	"os"
	"os/exec"
	"testing"
)

// bin is the directory of the programs that the tests start.
var bin string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	var err error
	if bin, err = os.MkdirTemp("", "crowder"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(bin) }()
	command := exec.Command("go", "build", "-o", bin, "./cmd/geraniumline", "./cmd/standin")
	command.Dir = ".."
	if output, err := command.CombinedOutput(); err != nil {
		fmt.Fprintln(os.Stderr, string(output))
		return 1
	}
	return m.Run()
}
