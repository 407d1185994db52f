#!/usr/bin/env bash
# Regenerates what is committed as generated code: the HTTP interfaces and the peers' wire types.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
(cd tools && go build -o "$bin/ogen" github.com/ogen-go/ogen/cmd/ogen)
(cd tools && go build -o "$bin/msgp" github.com/tinylib/msgp)
for api in caller endpoint platform operator; do
	"$bin/ogen" --config schema/ogen.yml --target "${api}server" --package "${api}server" --clean "schema/$api.yaml"
done
"$bin/msgp" -file carrier/schema.go -o carrier/schema_gen.go -tests=false
"$bin/msgp" -file carrier/crash.go -o carrier/crash_gen.go -tests=false
"$bin/msgp" -file recorder/schema.go -o recorder/schema_gen.go -tests=false
