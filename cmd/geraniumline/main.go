// Command geraniumline runs an entry and provides the operator's commands.
package main

import (
	"context"
	"os"
	"runtime/debug"

	"go.uber.org/zap"

	"geraniumline/assembler"
	"geraniumline/launcher"
	"geraniumline/loader"
)

func main() {
	cfg := launcher.Config{
		Version:    version(),
		RunEntry:   runEntry,
		RunForward: assembler.RunForwarding,
		Stdin:      os.Stdin,
		Stdout:     os.Stdout,
		Stderr:     os.Stderr,
		Terminal:   supportsColor(os.Stdout),
	}
	os.Exit(int(launcher.Run(context.Background(), cfg, os.Args)))
}

func runEntry(ctx context.Context, settings loader.Settings, log *zap.Logger) error {
	return assembler.Run(ctx, assembler.Config{Settings: settings, Log: log})
}

// version returns the module version that the build recorded, or "unknown".
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	return info.Main.Version
}

// supportsColor reports whether f is a terminal and neither NO_COLOR nor TERM=dumb disables colors.
func supportsColor(f *os.File) bool {
	if os.Getenv("NO_COLOR") != "" || os.Getenv("TERM") == "dumb" {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
