#!/bin/sh
# Callers that stop reading long streams: the entry's memory stays bounded,
# other callers are not affected, and the engines get their memory back.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
VMS_EACH=1
DL_RUNNERS=3
DL_RUNNER_OPTIONS="--decode-rate 20000 --memory 8000000"
READERS=20
GROWTH_MAX_KB=150000
[ -z "${DL_SANITIZED:-}" ] || GROWTH_MAX_KB=600000
test_begin dala
deploy_start || fail "the deployment does not start"

# A deadline counts from the first byte of a request, not from its last.
$DL_HTTP --slow 700 -e 503 -X POST -H 'Daisyledge-Deadline-Ms: 400' \
	-d "{\"model\":\"$MODEL\",\"prompt\":\"late\",\"max_tokens\":1}" \
	"$(vm_address 1 1):$HTTP_PORT" /v1/completions >"$DIR/slowly" ||
	fail "not refused at its deadline: $(head -1 "$DIR/slowly")"
grep -q '"reason": *"deadline"' "$DIR/slowly" ||
	fail "refused for another reason: $(tail -1 "$DIR/slowly")"

# A request whose deadline expires while its prompt is parsed is refused.
{
	printf '{"model":"%s","max_tokens":1,"prompt":"' "$MODEL"
	head -c 3900000 /dev/zero | tr '\0' x
	printf '"}'
} >"$DIR/long"
$DL_HTTP -e 503 -X POST -H 'Daisyledge-Deadline-Ms: 1' -f "$DIR/long" \
	"$(vm_address 1 1):$HTTP_PORT" /v1/completions >"$DIR/parsed" ||
	fail "not refused at its deadline: $(head -c 200 "$DIR/parsed")"
grep -q '"step":"read"' "$DIR/parsed" ||
	fail "refused after it was parsed: $(cat "$DIR/parsed")"

rss_kb() {
	awk '/^VmRSS/ { print $2 }' "/proc/$(pid_of entry_1_1)/status"
}

# Without flow control, each reader would be sent 18 MB within 10 s.
before=$(rss_kb)
n=0
while [ $n -lt $READERS ]; do
	$DL_HTTP --stall 6000 -X POST -H 'Daisyledge-Deadline-Ms: 600000' \
		-H 'Daisyledge-Workspace: almaty-counter' \
		-d "{\"model\":\"$MODEL\",\"prompt\":\"slow $n\",\"stream\":true,\"max_tokens\":200000}" \
		"$(vm_address 1 1):$HTTP_PORT" /v1/completions &
	record_pid reader $!
	n=$((n + 1))
done
sleep 4
growth=$(($(rss_kb) - before))
streams=$(grep -c '^B .* /v1/completions ' "$RECORD")
echo "unread streams begun: $streams, memory growth of the entry: $growth KB"
[ "$streams" -ge $READERS ] || fail "only $streams streams began"
[ $growth -lt $GROWTH_MAX_KB ] || fail "the entry grew by $growth KB"

ENTRIES=$(vm_address 1 1):$HTTP_PORT
CLASSES=test/data/load-models.json
run_load --seconds 2 --done-min 950 || fail "a check of the load failed"
