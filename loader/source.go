package loader

import _ "embed" // for Source

// Source is the source code of settings.go. Package documenter makes docs/Config.md from its comments.
//
//go:embed settings.go
var Source string
