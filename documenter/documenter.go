// Package documenter makes the pages that list settings and metrics from the code that defines them.
package documenter

//go:generate sh -c "go run ../cmd/geraniumline docs settings > ../docs/Config.md"
//go:generate sh -c "go run ../cmd/geraniumline docs metrics > ../docs/METRICS.md"

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"reflect"
	"strings"

	"geraniumline/loader"
	"geraniumline/meter"
)

const settingsHead = `# Settings

<!-- Made by "go generate ./documenter" from loader/settings.go. Edit that. -->

An entry reads its settings once, at its start, from the file that ` + "`geraniumline entry --settings FILE`" + ` names. The file is
JSON with comments (` + "`//` and `/* */`" + `) and may have a comma after the last item. ` + "`geraniumline check FILE`" + ` tells all of its faults
at once, each with line, column and field; a file with faults is refused whole, with exit code 2.

Every length of time is a whole number of milliseconds, every size a whole number of bytes; the name says so.

`

const metricsHead = `# Metrics

<!-- Made by "go generate ./documenter" from meter/definition.go. Edit that. -->

Every entry serves these on its operator address: as JSON at ` + "`/v1/metrics`" + ` and in the Prometheus text form at ` + "`/metrics`" + `,
there with ` + "`geraniumline_`" + ` before each name. A histogram gives quantiles 0.5, 0.95, 0.99 and 0.999 since the start of the
process, to within a hundredth. A metric with a label has one series for each value, up to %d (histograms: %d); further
values share the label ` + "`%s`" + `.

| name | kind | unit | by | counts |
|---|---|---|---|---|
`

// Metrics returns docs/METRICS.md.
func Metrics() (string, error) {
	var b strings.Builder
	fmt.Fprintf(&b, metricsHead, meter.MaxLabels, meter.MaxHistogramLabels, meter.OtherLabel)
	for _, d := range meter.Definitions() {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", d.Name, d.Kind, d.Unit, d.Label, d.Help)
	}
	return b.String(), nil
}

// Settings returns docs/Config.md.
func Settings() (string, error) {
	comments, err := fieldComments(loader.Source)
	if err != nil {
		return "", fmt.Errorf("read the comments of the settings: %w", err)
	}
	p := settingsPage{comments: comments}
	p.b.WriteString(settingsHead)
	p.b.WriteString("| field | default | rule | meaning |\n|---|---|---|---|\n")
	p.rows("", reflect.ValueOf(loader.Defaults()))
	return p.b.String(), nil
}

// fieldComments returns the comment of each struct field by type and field name.
func fieldComments(source string) (map[string]string, error) {
	file, err := parser.ParseFile(token.NewFileSet(), "settings.go", source, parser.ParseComments)
	if err != nil {
		return nil, err
	}
	comments := map[string]string{}
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.TypeSpec)
		if !ok {
			return true
		}
		if structure, ok := spec.Type.(*ast.StructType); ok {
			addComments(comments, spec.Name.Name, structure)
		}
		return true
	})
	return comments, nil
}

func addComments(comments map[string]string, typeName string, structure *ast.StructType) {
	for _, f := range structure.Fields.List {
		text := strings.Join(strings.Fields(f.Doc.Text()), " ")
		for _, name := range f.Names {
			comments[typeName+"."+name.Name] = text
		}
	}
}

type settingsPage struct {
	b        strings.Builder
	comments map[string]string
}

// rows writes a row for each field below the value.
func (p *settingsPage) rows(path string, value reflect.Value) {
	for i := range value.NumField() {
		f := value.Type().Field(i)
		name := path + f.Tag.Get("json")
		fmt.Fprintf(&p.b, "| `%s` | %s | %s | %s |\n",
			name, defaultOf(f, value.Field(i)), ruleOf(f), p.comments[value.Type().Name()+"."+f.Name])
		p.below(name, value.Field(i))
	}
}

func (p *settingsPage) below(name string, value reflect.Value) {
	switch {
	case value.Kind() == reflect.Struct:
		p.rows(name+".", value)
	case value.Kind() == reflect.Slice && value.Type().Elem().Kind() == reflect.Struct:
		p.rows(name+"[].", reflect.Zero(value.Type().Elem()))
	}
}

func defaultOf(f reflect.StructField, value reflect.Value) string {
	switch {
	case value.Kind() == reflect.Struct:
		return ""
	case value.Kind() == reflect.Int64:
		return fmt.Sprint(value.Int())
	case value.Kind() == reflect.String && value.String() != "":
		return fmt.Sprintf("`%q`", value.String())
	case strings.Contains(f.Tag.Get("check"), "optional") || f.Name == "SeedPeers":
		return "none"
	}
	return "must be given"
}

// rules say what each check tag asks for.
var rules = map[string]string{
	"label":    "1 to 64 letters, digits, `.`, `-`, `_`",
	"address":  "IP number and port",
	"url":      "`http` or `https` URL",
	"key":      "hex, 32 bytes or more",
	"sha256":   "64 hex digits",
	"logLevel": "`debug`, `info`, `warn` or `error`",
}

func ruleOf(f reflect.StructField) string {
	if low, ok := f.Tag.Lookup("min"); ok {
		return low + " to " + f.Tag.Get("max")
	}
	rule, _, _ := strings.Cut(f.Tag.Get("check"), ",")
	text := rules[rule]
	if f.Type.Kind() == reflect.Slice && text != "" {
		return "list: " + text
	}
	return text
}
