package receiver

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"geraniumline/reducer"
)

// constantsOf returns the values of the string constants in a directory's non-test files whose names begin
// with the prefix.
func constantsOf(t *testing.T, dir, prefix string) map[string]string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, "*.go"))
	require.NoError(t, err)
	found := map[string]string{}
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		tree, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
		require.NoError(t, err)
		ast.Inspect(tree, func(node ast.Node) bool {
			spec, isValue := node.(*ast.ValueSpec)
			if isValue && len(spec.Values) == 1 && strings.HasPrefix(spec.Names[0].Name, prefix) {
				if literal, isLiteral := spec.Values[0].(*ast.BasicLit); isLiteral && literal.Kind == token.STRING {
					found[spec.Names[0].Name], err = strconv.Unquote(literal.Value)
					require.NoError(t, err)
				}
			}
			return true
		})
	}
	require.NotEmpty(t, found)
	return found
}

// Callers look up failure codes in docs/ERRORS.md. Every code must have a row there, and the row must name the HTTP
// status that is sent with the code.
func TestEveryCodeStandsOnThePage(t *testing.T) {
	page, err := os.ReadFile("../docs/ERRORS.md")
	require.NoError(t, err)
	rows := map[string]string{}
	for _, line := range strings.Split(string(page), "\n") {
		if cells := strings.Split(line, "|"); len(cells) > 3 {
			rows[strings.Trim(cells[1], " `")] = cells[2]
		}
	}
	for name, code := range constantsOf(t, "../reducer", "Code") {
		t.Run(name, func(t *testing.T) {
			require.Contains(t, rows, code)
			require.Contains(t, rows[code], fmt.Sprint(statusOf(reducer.Code(code))))
		})
	}
	for name, code := range constantsOf(t, ".", "code") {
		t.Run(name, func(t *testing.T) { require.Contains(t, rows, code) })
	}
}

// Operators look up alarms in docs/OPERATING.md. Every alarm text that the status can show must be on that page.
func TestEveryAlarmIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATING.md")
	require.NoError(t, err)
	tree, err := parser.ParseFile(token.NewFileSet(), "../reducer/status.go", nil, 0)
	require.NoError(t, err)
	alarms := 0
	ast.Inspect(tree, func(node ast.Node) bool {
		function, isFunction := node.(*ast.FuncDecl)
		if !isFunction {
			return true
		}
		if function.Name.Name != "alarms" {
			return false
		}
		ast.Inspect(function, func(node ast.Node) bool {
			if literal, isLiteral := node.(*ast.BasicLit); isLiteral && literal.Kind == token.STRING {
				alarms++
				text, err := strconv.Unquote(literal.Value)
				require.NoError(t, err)
				require.Contains(t, string(page), text)
			}
			return true
		})
		return false
	})
	require.Positive(t, alarms)
}
