package launcher

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"geraniumline/loader"
	"geraniumline/publisher"
)

// FileError tells of the faults in one file.
type FileError struct {
	File string
	Err  error
}

func (e *FileError) Error() string {
	var faults *loader.FaultsError
	if !errors.As(e.Err, &faults) {
		return e.Err.Error()
	}
	lines := make([]string, len(faults.Faults))
	for i, f := range faults.Faults {
		separator := ":"
		if f.Line == 0 {
			separator = ": "
		}
		lines[i] = e.File + separator + f.String()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }

func inFile(file string, err error) error { return &FileError{File: file, Err: err} }

func (a *app) checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check files of settings and of configuration objects, without asking an entry",
		ArgsUsage: "FILE...",
		Description: `Names all faults of each file at once, with line and column, and exits 2 if there are any.
A file is JSON with comments: either an entry's settings, or one object {"kind", "name", "body"} or a list of them.

Examples:
  geraniumline check settings.json contracts/*.json
  geraniumline check --whole pools.json pipelines.json contracts/*.json
  geraniumline check --json settings.json | jq '.[].faults[].path'`,
		Flags: []cli.Flag{jsonFlag(), &cli.BoolFlag{
			Name:  "whole",
			Usage: "the files hold the whole configuration: check that what objects refer to is there",
		}},
		OnUsageError: usageError,
		Action:       action(a.check),
	}
}

// checked is what check says of a file.
type checked struct {
	File   string         `json:"file"`
	Holds  string         `json:"holds"`
	Faults []loader.Fault `json:"faults"`

	objects []loader.Object
	err     error
}

func (a *app) check(_ context.Context, cmd *cli.Command) error {
	if !cmd.Args().Present() {
		return &UsageError{Message: "name the files to check", Command: cmd.FullName()}
	}
	results := []checked{}
	for _, file := range cmd.Args().Slice() {
		results = append(results, checkFile(file))
	}
	if cmd.Bool("whole") {
		checkWhole(results)
	}
	faulty := false
	for _, result := range results {
		faulty = faulty || result.err != nil
		if !cmd.Bool("json") {
			a.printCheck(result)
		}
	}
	if cmd.Bool("json") {
		if err := a.printJSON(results); err != nil {
			return err
		}
	}
	if faulty {
		return &ReportedError{Code: ExitUsage}
	}
	return nil
}

// checkWhole checks the objects of all files together, and adds to each file's faults what its objects refer to and
// none of the files holds. Files with faults of their own have no objects here: they are told apart.
func checkWhole(results []checked) {
	var whole []publisher.Object
	var from []*checked
	var objects []loader.Object
	for i := range results {
		for _, o := range results[i].objects {
			whole = append(whole, publisher.Object{Kind: o.Kind, Name: o.Name, Body: o.Body})
			from = append(from, &results[i])
			objects = append(objects, o)
		}
	}
	for _, f := range publisher.CheckConfiguration(whole) {
		result := from[f.Index]
		result.Faults = append(result.Faults, objects[f.Index].Fault(f.Fault.Path, f.Fault.Message))
		result.err = inFile(result.File, &loader.FaultsError{Faults: result.Faults})
	}
}

func (a *app) printCheck(result checked) {
	if result.err != nil {
		a.complain(result.err.Error())
		return
	}
	a.print("%s: %s, no faults\n", result.File, result.Holds)
}

func checkFile(file string) checked {
	result := checked{File: file, Holds: "settings", Faults: []loader.Fault{}}
	src, err := os.ReadFile(file)
	switch {
	case err != nil:
		err = &loader.UnreadableError{File: file, Err: err}
	case loader.HoldsObjects(src):
		result.objects, err = checkedObjects(src)
		result.Holds = fmt.Sprintf("%d configuration objects", len(result.objects))
	default:
		_, err = loader.Load(file)
	}
	if err != nil {
		result.Faults = faultsOf(err)
		result.err = inFile(file, err)
	}
	return result
}

func faultsOf(err error) []loader.Fault {
	var faults *loader.FaultsError
	if errors.As(err, &faults) {
		return faults.Faults
	}
	return []loader.Fault{{Message: err.Error()}}
}

// checkedObjects reads configuration objects and checks each body by itself. Whether a contract's
// pipelines exist can only be told against what is in force.
func checkedObjects(src []byte) ([]loader.Object, error) {
	objects, err := loader.ParseObjects(src)
	if err != nil {
		return nil, err
	}
	var faults []loader.Fault
	for _, o := range objects {
		for _, f := range publisher.Check(o.Kind, o.Name, o.Body) {
			faults = append(faults, o.Fault(f.Path, f.Message))
		}
	}
	if len(faults) > 0 {
		return nil, &loader.FaultsError{Faults: faults}
	}
	return objects, nil
}

// loadObjects reads and checks a file of configuration objects; a file named "-" is the standard input.
func (a *app) loadObjects(file string) ([]loader.Object, error) {
	src, err := a.readInput(file)
	if err != nil {
		return nil, &loader.UnreadableError{File: file, Err: err}
	}
	objects, err := checkedObjects(src)
	if err != nil {
		return nil, inFile(file, err)
	}
	return objects, nil
}
