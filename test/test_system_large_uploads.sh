#!/bin/sh
# Guards against a VM that runs out of memory for large uploads that come at once: each
# is answered, or refused as not run, and the VM stays within the memory that it has.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
test_begin dala
. test/platform_deploy.sh

CALLERS=96
UPLOAD_BYTES=7000000
# Of a VM of the platform.
RSS_MAX_KB=266240
[ -z "${DL_SANITIZED:-}" ] || RSS_MAX_KB=1500000

# As in platform_deploy.sh, with the limit of deploy/entry.json.in.
start_process() { # ROLE D FOUND
	write_platform_settings "$@"
	sed -i 's/"foreign":true,/&"buffer_mb":64,/' "$DIR/$1-$2.json"
	DAISYLEDGE_SETTINGS="$DIR/$1-$2.json" "$DL_BIN" "$1" \
		>>"$DIR/$1-$2.log" 2>&1 &
	record_pid "$1_$2" $!
}

start_all
wait_for 10 "the first configuration" put_config \
	"$(config 5 5000 '"key-one"' | sed 's/"timeout_ms":2000/"timeout_ms":8000/g')" ||
	fail "the first configuration is not accepted"
for d in 1 2 3; do
	wait_for 10 "entry $d" entry_is_ready $d || fail "entry $d is not ready"
done
start_platform_endpoint d1 21 --service desk --plain --answer-ms 1500 --slots 100
wait_endpoints_known d1
head -c $UPLOAD_BYTES /dev/zero >"$DIR/body"

i=0
while [ $i -lt $CALLERS ]; do
	i=$((i + 1))
	$DL_HTTP -t 20000 -X POST -H "$HOST" -H "$KEY" \
		-H "Daisyledge-Attempt-Id: upload-$i" -f "$DIR/body" \
		"$(entry_address 1)" /book/x >"$DIR/upload-$i" 2>&1 &
	record_pid upload_$i $!
done
i=0 served=0 refused=0
while [ $i -lt $CALLERS ]; do
	i=$((i + 1))
	if wait "$(pid_of upload_$i)"; then
		served=$((served + 1))
	elif grep -q '"reason":"busy"' "$DIR/upload-$i"; then
		refused=$((refused + 1))
	else
		fail "upload $i has no answer: $(cut -c1-200 "$DIR/upload-$i")"
	fi
done
peak=$(awk '/^VmHWM/ { print $2 }' "/proc/$(pid_of entry_1)/status")
echo "$served served, $refused refused, peak $peak kB"
[ "$served" -gt 0 ] || fail "no upload is served"
[ "$peak" -le $RSS_MAX_KB ] || fail "the VM uses $peak kB, of $RSS_MAX_KB"
