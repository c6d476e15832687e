#!/bin/sh
# Latency of urgent calls through VMs that also parse prompts of a million
# tokens, compared with the same VMs without such prompts, in one run.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
VMS_EACH=1
test_begin dala >&2
SECONDS_EACH=${DL_BENCH_SECONDS:-8}

# A column of the ping row of a table: ping_column FILE COLUMN
ping_column() {
	awk -v c="$2" '$1 == "ping" { print $c }' "$1"
}

ratio() {
	awk -v a="$1" -v b="$2" 'BEGIN { printf "%.2f", b ? a / b : 0 }'
}

deploy_start >&2 || fail "the deployment does not start"
for rate in 0.001 2; do
	cat >"$DIR/classes-$rate.json" <<-EOF
	{"workspaces": ["kiosks", "season-groups"],
	 "classes": [
	  {"name": "ping", "service": "front-desk", "path": "/availability",
	   "plain": true, "rate": 150, "deadline_ms": 1500},
	  {"name": "season", "tokens_min": 900000, "tokens_max": 1000000,
	   "max_tokens": 20, "rate": $rate, "deadline_ms": 20000}]}
	EOF
	CLASSES=$DIR/classes-$rate.json
	run_load --seconds "$SECONDS_EACH" --seed 3 >"$DIR/table-$rate" 2>&1
	: >"$RECORD"
done
tab=$(printf '\t')
alone=$DIR/table-0.001 mixed=$DIR/table-2
echo "ping_p95_ms_alone$tab$(ping_column "$alone" 9)${tab}ms"
echo "ping_p95_ms_with_million_tokens$tab$(ping_column "$mixed" 9)${tab}ms"
echo "ping_p95_ratio$tab$(ratio "$(ping_column "$mixed" 9)" "$(ping_column "$alone" 9)")${tab}ratio"
echo "ping_p99_ratio$tab$(ratio "$(ping_column "$mixed" 10)" "$(ping_column "$alone" 10)")${tab}ratio"
trap - EXIT
deploy_stop
release_subnet
rm -rf "$WORK"
