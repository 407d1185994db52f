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
}

func (a *app) check(_ context.Context, cmd *cli.Command) error {
	if !cmd.Args().Present() {
		return &UsageError{Message: "name the files to check", Command: cmd.FullName()}
	}
	faulty := false
	results := []checked{}
	missing := map[string]error{}
	if cmd.Bool("whole") {
		missing = checkWhole(cmd.Args().Slice())
	}
	for _, file := range cmd.Args().Slice() {
		result, err := checkFile(file)
		if err == nil && missing[file] != nil {
			err = missing[file]
			result.Faults = faultsOf(err)
		}
		faulty = faulty || err != nil
		results = append(results, result)
		if !cmd.Bool("json") {
			a.printCheck(result, err)
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

// checkWhole checks the objects of all files together, and gives an error for each file whose objects refer to
// what none of them holds. Files with faults of their own are left out: they are told apart.
func checkWhole(files []string) map[string]error {
	var all []loader.Object
	var whole []publisher.Object
	var from []string
	for _, file := range files {
		src, err := os.ReadFile(file)
		if err != nil || !loader.HoldsObjects(src) {
			continue
		}
		objects, err := checkedObjects(src)
		if err != nil {
			continue
		}
		for _, o := range objects {
			all = append(all, o)
			whole = append(whole, publisher.Object{Kind: o.Kind, Name: o.Name, Body: o.Body})
			from = append(from, file)
		}
	}
	faults := map[string][]loader.Fault{}
	for _, f := range publisher.CheckWhole(whole) {
		faults[from[f.Index]] = append(faults[from[f.Index]], all[f.Index].Fault(f.Fault.Path, f.Fault.Message))
	}
	errs := map[string]error{}
	for file, found := range faults {
		errs[file] = inFile(file, &loader.FaultsError{Faults: found})
	}
	return errs
}

func (a *app) printCheck(result checked, err error) {
	if err != nil {
		a.complain(err.Error())
		return
	}
	a.print("%s: %s, no faults\n", result.File, result.Holds)
}

func checkFile(file string) (checked, error) {
	result := checked{File: file, Holds: "settings", Faults: []loader.Fault{}}
	src, err := os.ReadFile(file)
	switch {
	case err != nil:
		err = &loader.UnreadableError{File: file, Err: err}
	case loader.HoldsObjects(src):
		var objects []loader.Object
		objects, err = checkedObjects(src)
		result.Holds = fmt.Sprintf("%d configuration objects", len(objects))
	default:
		_, err = loader.Load(file)
	}
	if err == nil {
		return result, nil
	}
	result.Faults = faultsOf(err)
	return result, inFile(file, err)
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
