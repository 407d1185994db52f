package loader

import _ "embed" // for the settings' comments

// Source is the file that defines Settings. Its comments become docs/Config.md.
//
//go:embed settings.go
var Source string
