#!/usr/bin/env bash
# Runs the case resume: exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review-2 ] || [ ! -x target/geraniumline ]; then
	echo "build the deploy file and review/build-2.sh first" >&2
	exit 2
fi
exec target/review-2 resume review/6/record.txt
