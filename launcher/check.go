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

// FileError reports the faults in one file. Its text has one line per fault, with the file's name.
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

func newFileError(file string, err error) error { return &FileError{File: file, Err: err} }

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

// checkResult is the result of checking one file.
type checkResult struct {
	File    string         `json:"file"`
	Content string         `json:"holds"`
	Faults  []loader.Fault `json:"faults"`

	objects []loader.Object
	err     error
}

func (a *app) check(_ context.Context, cmd *cli.Command) error {
	if !cmd.Args().Present() {
		return &UsageError{Message: "name the files to check", Command: cmd.FullName()}
	}
	results := []checkResult{}
	for _, file := range cmd.Args().Slice() {
		results = append(results, checkFile(file))
	}
	if cmd.Bool("whole") {
		checkWhole(results)
	}
	hasFaults := false
	for _, result := range results {
		hasFaults = hasFaults || result.err != nil
		if !cmd.Bool("json") {
			a.printCheck(result)
		}
	}
	if cmd.Bool("json") {
		if err := a.printJSON(results); err != nil {
			return err
		}
	}
	if hasFaults {
		return &ReportedError{Code: ExitUsage}
	}
	return nil
}

// checkWhole checks the objects of all files together, and adds a fault to a file for each reference to an object
// that none of the files contains. Files with faults of their own contribute no objects; their faults are reported
// separately.
func checkWhole(results []checkResult) {
	var published []publisher.Object
	var sources []*checkResult
	var objects []loader.Object
	for i := range results {
		for _, o := range results[i].objects {
			published = append(published, publisher.Object{Kind: o.Kind, Name: o.Name, Body: o.Body})
			sources = append(sources, &results[i])
			objects = append(objects, o)
		}
	}
	for _, f := range publisher.CheckConfiguration(published) {
		result := sources[f.Index]
		result.Faults = append(result.Faults, objects[f.Index].Fault(f.Fault.Path, f.Fault.Message))
		result.err = newFileError(result.File, &loader.FaultsError{Faults: result.Faults})
	}
}

func (a *app) printCheck(result checkResult) {
	if result.err != nil {
		a.printStderr(result.err.Error())
		return
	}
	a.print("%s: %s, no faults\n", result.File, result.Content)
}

func checkFile(file string) checkResult {
	result := checkResult{File: file, Content: "settings", Faults: []loader.Fault{}}
	src, err := os.ReadFile(file)
	switch {
	case err != nil:
		err = &loader.UnreadableError{File: file, Err: err}
	case loader.IsObjectFile(src):
		result.objects, err = parseAndCheckObjects(src)
		result.Content = fmt.Sprintf("%d configuration objects", len(result.objects))
	default:
		_, err = loader.Load(file)
	}
	if err != nil {
		result.Faults = faultsOf(err)
		result.err = newFileError(file, err)
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

// parseAndCheckObjects parses configuration objects and checks each body by itself. Whether a contract's pipelines
// exist can only be checked against the configuration in force.
func parseAndCheckObjects(src []byte) ([]loader.Object, error) {
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

// loadObjects reads and checks a file of configuration objects; "-" reads the standard input.
func (a *app) loadObjects(file string) ([]loader.Object, error) {
	src, err := a.readInput(file)
	if err != nil {
		return nil, &loader.UnreadableError{File: file, Err: err}
	}
	objects, err := parseAndCheckObjects(src)
	if err != nil {
		return nil, newFileError(file, err)
	}
	return objects, nil
}
