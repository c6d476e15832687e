#!/bin/sh
# Guards against headers that are dropped for their number: those of a request
# that decide (key, model, usage, prompt) and those of a response, wherever they
# stand. A request with more than the HTTP parser takes is refused and logged.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
test_begin dala
. test/platform_deploy.sh

start_all
start_platform_endpoint d1 1 --service desk --plain --echo --pad-headers 90
configure_all '"key-one"'
wait_endpoints_known d1

# Options for this many headers of the client's own.
padding() { # COUNT
	i=0
	while [ $i -lt "$1" ]; do
		i=$((i + 1))
		printf ' -H X-Trace-%s:0123456789' $i
	done
}

PROMPT='5c1e07a2:800,91bd3f06:410'
for d in 1 2 3; do
	for pad in 10 80; do
		# shellcheck disable=SC2046
		book $d "b$d$pad" 200 $(padding $pad) \
			-H 'Daisyledge-Model: m' \
			-H 'Daisyledge-Token-Usage: 1460,80' \
			-H "Daisyledge-Prompt-Prefix: $PROMPT" -H "$KEY" >"$DIR/answer" ||
			fail "entry $d refuses a request with $pad headers before its key"
		grep -q "^m 1460,80 $PROMPT\$" "$DIR/answer" ||
			fail "entry $d: model, usage or prompt are lost behind $pad headers"
	done
done

# An attempt id longer than a name of this system.
LONG_ID=$(printf 'a%079d' 1)
book 1 "$LONG_ID" 200 -H "$KEY" >/dev/null ||
	fail "a request with a long attempt id is not served"

for d in 1 2 3; do
	book $d "r$d" 200 --head -H "$KEY" >"$DIR/answer" ||
		fail "entry $d does not serve a request"
	grep -qi '^Daisyledge-Response-Stamp: d1' "$DIR/answer" ||
		fail "entry $d: the stamp is lost behind 90 headers of the response"
	[ "$(grep -ci '^X-Pad:' "$DIR/answer")" -eq 90 ] ||
		fail "entry $d: headers of the response are lost"
done

# shellcheck disable=SC2046
book 1 toomany 400 $(padding 110) -H "$KEY" >/dev/null ||
	fail "a request with more headers than the parser takes is not refused"
grep -q toomany "$RECORD" && fail "a refused request has run"
wait_for 3 "the log line" grep -q 'A request was refused before it was read whole.*headers_max=100' \
	"$DIR/entry-1.log" || fail "the refusal is not logged"
