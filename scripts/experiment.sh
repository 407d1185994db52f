#!/usr/bin/env bash
# Plays the shipped scenarios that take seconds and writes their reports to docs/experiments/: under two minutes on 8 cores.
set -euo pipefail
cd "$(dirname "$0")/.."
for scenario in calm threeStages threeStagesLost threeStagesSlow overCapacity digests summaries enginesLost; do
	./bin/experiment run "$scenario" --seeds 10 --out docs/experiments >/dev/null
done
./bin/experiment ablate threeStagesLost overCapacity --seeds 10 >docs/experiments/ablation.md
