// Command geraniumline runs an entry and carries the operator's commands.
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
		Terminal:   coloured(os.Stdout),
	}
	os.Exit(int(launcher.Run(context.Background(), cfg, os.Args)))
}

func runEntry(ctx context.Context, settings loader.Settings, log *zap.Logger) error {
	return assembler.Run(ctx, assembler.Config{Settings: settings, Log: log})
}

// version returns what the build recorded of itself.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	return info.Main.Version
}

// coloured tells whether the file is a terminal that wants colours.
func coloured(f *os.File) bool {
	if os.Getenv("NO_COLOR") != "" || os.Getenv("TERM") == "dumb" {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
