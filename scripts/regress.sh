#!/usr/bin/env bash
# Plays the users' deployments with their bench: score, hunt and incident of each site, and one table of what came out with
# the change against the last landing (docs/regress.tsv, which --keep rewrites).
# Usage: FLEETBENCH=path/to/fleetbench scripts/regress.sh [--keep] [--why TEXT] SITE...
# HUNT_DAYS sets the days of each hunt (else 8 on sites of 60 VMs or more, 40 on others), JOBS the days played at once (half
# of the processors).
set -euo pipefail
cd "$(dirname "$0")/.."

keep=''
why='regression before a landing'
sites=()
while [ $# -gt 0 ]; do
	case $1 in
	--keep) keep=yes ;;
	--why) why=$2 && shift ;;
	-*) echo "regress: unknown option $1" >&2 && exit 2 ;;
	*) sites+=("$1") ;;
	esac
	shift
done
if [ ${#sites[@]} -eq 0 ]; then
	echo 'regress: name the site files to play' >&2
	exit 2
fi
if [ ! -x "${FLEETBENCH:-}" ]; then
	echo "regress: FLEETBENCH must be the path of the bench's program; it is '${FLEETBENCH:-}'" >&2
	exit 2
fi
for site in "${sites[@]}"; do
	if [ ! -f "$site" ]; then
		echo "regress: there is no site file $site" >&2
		exit 2
	fi
done

jobs=${JOBS:-$(($(nproc) / 2))}
out=$(mktemp -d)
kept=docs/regress.tsv
failed=''

# hunt_days gives the days of a hunt on a site: few where a day takes minutes.
hunt_days() {
	case $1 in
	*-grown.toml | *-large.toml) echo "${HUNT_DAYS:-8}" ;;
	*) echo "${HUNT_DAYS:-40}" ;;
	esac
}

# play runs one verb of the bench, its output to a file. A verb that fails is told in the table, not passed over.
play() {
	local file=$1
	shift
	"$FLEETBENCH" "$@" --jobs "$jobs" --why "$why" >"$file" 2>&1 || echo "ended with status $?" >>"$file"
}

# mean_worth gives the mean of the column worth over a score's standard days with trouble or high load.
mean_worth() {
	awk '/^day /{table = 1; next} table && $1 ~ /^(trouble|scale)-/ && !seen[$1]++ {sum += $4; n++} END {if (n) printf "%.3f", sum / n; else printf "none"}' "$1"
}

for site in "${sites[@]}"; do
	name=$(basename "$site" .toml)
	play "$out/$name.score" score "$site"
	play "$out/$name.hunt" hunt "$site" --days "$(hunt_days "$site")"
	play "$out/$name.incident" incident "$site"
	gate=$(grep -ao 'GATE [a-z]*' "$out/$name.score" | tail -1 || true)
	worth=$(mean_worth "$out/$name.score")
	before=$(awk -v s="$name" '$1 == s {print $2}' "$kept" 2>/dev/null || true)
	hunt=$(tail -1 "$out/$name.hunt")
	printf '%s\t%s\t%s\t%s\t%s\n' "$name" "$worth" "${before:-none}" "${gate:-GATE none}" "$hunt" >>"$out/table"
	[ "$gate" = 'GATE passed' ] || failed=yes
done

echo 'site, mean worth of the days with trouble or high load, at the last landing, gate, hunt:'
cat "$out/table"
echo "the bench's own output is in $out"
if [ -n "$keep" ]; then
	{
		cut -f1,2 "$out/table"
		cut -f1,2 "$kept" 2>/dev/null || true
	} | awk '!seen[$1]++' | sort >"$out/kept"
	cp "$out/kept" "$kept"
fi
[ -z "$failed" ]
