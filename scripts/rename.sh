#!/usr/bin/env bash
# Renames a Go identifier and all its uses with the pinned gopls, which is built in its own module.
# Usage: scripts/rename.sh FILE:LINE:COLUMN NEW_NAME
set -euo pipefail
if [ $# -ne 2 ]; then
	echo 'usage: rename FILE:LINE:COLUMN NEW_NAME' >&2
	exit 2
fi
cd "$(dirname "$0")/.."
go run golang.org/x/tools/gopls@v0.23.0 rename -w "$1" "$2"
