package launcher

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"unicode"

	"github.com/urfave/cli/v3"
)

// jsonFlag returns the flag that makes a command print JSON.
func jsonFlag() cli.Flag {
	return &cli.BoolFlag{Name: "json", Usage: "print JSON, for a script"}
}

// print writes to the standard output.
func (a *app) print(format string, args ...any) {
	_, _ = fmt.Fprintf(a.out, format, args...) // the error can't be reported if the output is closed
}

// printStderr writes a line to the standard error output, with unprintable characters replaced.
func (a *app) printStderr(text string) {
	_, _ = fmt.Fprintln(a.err, replaceUnprintable(text))
}

// printJSON writes indented JSON to the standard output.
func (a *app) printJSON(value any) error {
	encoder := json.NewEncoder(a.out)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return encoder.Encode(value)
}

// printText writes text from an external source. On a terminal it replaces control characters.
func (a *app) printText(text string) {
	if a.cfg.Terminal {
		text = replaceUnprintable(text)
	}
	_, _ = io.WriteString(a.out, text)
}

func replaceUnprintable(text string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsPrint(r) || r == '\n' || r == '\t' {
			return r
		}
		return '?'
	}, text)
}
