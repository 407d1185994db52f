#!/usr/bin/env bash
# Fails when a Go file is not in gofmt's form, and names it.
set -euo pipefail
cd "$(dirname "$0")/.."
unformatted=$(git ls-files -z --cached --others --exclude-standard '*.go' | xargs -0r gofmt -l)
if [ -n "$unformatted" ]; then
	printf 'gofmt: not formatted:\n%s\n' "$unformatted" >&2
	exit 1
fi
