#!/usr/bin/env bash
# Builds the stand-ins of the cases 5, 6 and 8.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -trimpath -o target/review-2 ./review/standin-2
