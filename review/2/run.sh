#!/usr/bin/env bash
# Plays the case after the build of deploy/system.toml and review/build.sh. TROUBLE=0 leaves out the disruption.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/geraniumline ] && [ -x target/review/standin ] || { echo "build first" >&2; exit 2; }
exec target/review/standin -case keys -program target/geraniumline -record review/2/record.txt
