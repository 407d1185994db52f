package launcher

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"unicode"

	"github.com/urfave/cli/v3"
)

// jsonFlag makes a command print JSON for a script.
func jsonFlag() cli.Flag {
	return &cli.BoolFlag{Name: "json", Usage: "print JSON, for a script"}
}

// print writes to the standard output.
func (a *app) print(format string, args ...any) {
	_, _ = fmt.Fprintf(a.out, format, args...) // nothing is left to tell where the output is closed
}

// complain writes a line to the standard error output.
func (a *app) complain(text string) {
	_, _ = fmt.Fprintln(a.err, printable(text))
}

// printJSON writes indented JSON to the standard output.
func (a *app) printJSON(value any) error {
	encoder := json.NewEncoder(a.out)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return encoder.Encode(value)
}

// printText writes text that came from elsewhere, without what would steer a terminal.
func (a *app) printText(text string) {
	if a.cfg.Terminal {
		text = printable(text)
	}
	_, _ = io.WriteString(a.out, text)
}

func printable(text string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsPrint(r) || r == '\n' || r == '\t' {
			return r
		}
		return '?'
	}, text)
}
