#!/usr/bin/env bash
# Runs the policy's simulations, prints their figures as a table, draws docs/policy.svg and
# closes with 'policy: cases=N withinBounds=N'. It fails when a figure is out of its bound.
set -euo pipefail
cd "$(dirname "$0")/.."
out=$(mktemp)
trap 'rm -f "$out"' EXIT
status=0
GERANIUMLINE_BASELINES=1 go test -count=1 -p 4 -run Policy -v ./... >"$out" || status=$?
go run ./cmd/policyreport --picture docs/policy.svg <"$out" || status=$?
if [ "$status" -ne 0 ]; then
	grep -E '^ *--- FAIL|^FAIL' "$out" >&2 || true
fi
exit "$status"
