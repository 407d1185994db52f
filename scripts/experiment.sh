#!/usr/bin/env bash
# Plays the shipped scenarios that take seconds and writes their reports to docs/experiments/.
set -euo pipefail
cd "$(dirname "$0")/.."
for scenario in calm threeStages threeStagesLost threeStagesSlow overCapacity digests summaries enginesLost; do
	./bin/experiment run "$scenario" --seeds 20 --out docs/experiments >/dev/null
done
./bin/experiment ablate threeStages threeStagesLost overCapacity digests --seeds 20 >docs/experiments/ablation.md
