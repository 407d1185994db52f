#!/usr/bin/env bash
# Runs the pinned linter. It is built in its own module, so that the product's go.mod names no tool.
set -euo pipefail
cd "$(dirname "$0")/.."
go run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0 run ./...
