#!/bin/sh
# Separate listeners with keys for operators and endpoints.  Requests that are
# unsigned, stale or signed with another key change nothing and register no
# endpoint; two keys are valid during a key rotation; each path is served on its
# own listener only; and no secret appears in logs, records or responses.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
VMS_EACH=1
DL_RUNNERS=3
DL_LOG_LEVEL=debug
test_begin dala
OPERATOR_PORT=8081
ENDPOINT_LISTENER_PORT=8082
ANNOUNCE_TO=$(vm_address 1 1):$ENDPOINT_LISTENER_PORT,$(vm_address 2 1):$ENDPOINT_LISTENER_PORT
ANNOUNCE_TO=$ANNOUNCE_TO,$(vm_address 3 1):$ENDPOINT_LISTENER_PORT

# All secrets contain the same marker, so that one search finds them.
MARK=sesame
for k in operators-old operators-new endpoints-old endpoints-new other; do
	echo "$MARK-$k-0123456789" >"$DIR/$k.key"
done
secrets() { # SIDE WHICH...
	side=$1 sep=
	shift
	for w in "$@"; do
		printf '%s"%s"' "$sep" "$(cat "$DIR/$side-$w.key")"
		sep=,
	done
}
VALID="old new"
entry_settings() { # D V
	printf '"operators":"%s:%s","endpoints":"%s:%s",' \
		"$(vm_address "$1" "$2")" $OPERATOR_PORT \
		"$(vm_address "$1" "$2")" $ENDPOINT_LISTENER_PORT
	# shellcheck disable=SC2086
	printf '"operator_keys":[%s],"endpoint_keys":[%s],' \
		"$(secrets operators $VALID)" "$(secrets endpoints $VALID)"
}
ENDPOINT_KEY=$DIR/endpoints-old.key
export DAISYLEDGE_KEY_FILE="$DIR/operators-old.key"
deploy_start || fail "the deployment does not start"

operator_address() { # D
	echo "$(vm_address "$1" 1):$OPERATOR_PORT"
}

endpoint_listener() { # D
	echo "$(vm_address "$1" 1):$ENDPOINT_LISTENER_PORT"
}

expect_status() { # STATUS WHAT OPTION...
	status=$1
	what=$2
	shift 2
	$DL_HTTP -e "$status" "$@" >"$DIR/answer" ||
		fail "$what is not a $status: $(cat "$DIR/answer")"
}

key_option() { # NAME
	echo "--key-file $DIR/$1.key"
}

# The operators' listeners: reads and changes need a valid signature.
"$DL_BIN" get --entry "$(operator_address 1)" >"$DIR/before" || fail "the configuration cannot be read"
version() { # D
	"$DL_BIN" status --json --entry "$(operator_address "$1")" |
		sed 's/^{"version":\([0-9]*\).*/\1/'
}
base=$(version 1)
sed 's/"weight_store_mb_per_s": [0-9]*/"weight_store_mb_per_s": 77/' \
	"$DIR/config.json" >"$DIR/other.json"
apply_as() { # D KEY-FILE
	DAISYLEDGE_KEY_FILE=$2 "$DL_BIN" apply --timeout 3 \
		--entry "$(operator_address "$1")" "$DIR/other.json" \
		>"$DIR/apply-as.log" 2>&1
}
for d in 1 2 3; do
	env -u DAISYLEDGE_KEY_FILE "$DL_BIN" apply --timeout 3 \
		--entry "$(operator_address $d)" "$DIR/other.json" \
		>"$DIR/apply-as.log" 2>&1 && fail "an unsigned change was accepted"
	grep -q 'signature' "$DIR/apply-as.log" ||
		fail "an unsigned change: $(cat "$DIR/apply-as.log")"
	apply_as $d "$DIR/other.key" && fail "a change signed with another key was accepted"
	grep -q 'of another key' "$DIR/apply-as.log" ||
		fail "a change by another key: $(cat "$DIR/apply-as.log")"
	apply_as $d "$DIR/endpoints-old.key" &&
		fail "a change signed with an endpoint key was accepted"
done
{
	printf '{"change_id":"raw","text":'
	printf '"%s"}' "$(sed 's/"/\\"/g' "$DIR/other.json" | tr -d '\n')"
} >"$DIR/raw.json"
for path in /v1/config /v1/config/history /v1/status /metrics /v1/traces; do
	expect_status 401 "unsigned $path" "$(operator_address 1)" $path
	# shellcheck disable=SC2046
	expect_status 401 "$path by another key" $(key_option other) "$(operator_address 1)" $path
	# shellcheck disable=SC2046
	expect_status 401 "stale $path" $(key_option operators-old) --signed-ago 130000 \
		"$(operator_address 1)" $path
	for k in operators-old operators-new; do
		# shellcheck disable=SC2046
		expect_status 200 "$path by $k" $(key_option $k) "$(operator_address 1)" $path
		cat "$DIR/answer" >>"$DIR/answers"
	done
	# shellcheck disable=SC2046
	expect_status 404 "$path at the callers' listener" $(key_option operators-old) \
		"$(vm_address 1 1):$HTTP_PORT" $path
	# shellcheck disable=SC2046
	expect_status 404 "$path at the endpoints' listener" $(key_option operators-old) \
		"$(endpoint_listener 1)" $path
done
# shellcheck disable=SC2046
expect_status 401 "a replayed change" -X POST -f "$DIR/raw.json" --signed-ago 130000 \
	$(key_option operators-old) "$(operator_address 1)" /v1/config
expect_status 401 "an unsigned change" -X POST -f "$DIR/raw.json" \
	"$(operator_address 1)" /v1/config
for d in 1 2 3; do
	[ "$(version $d)" = "$base" ] || fail "the version changed at VM $d"
	"$DL_BIN" get --entry "$(operator_address $d)" | cmp -s - "$DIR/before" ||
		fail "the configuration changed at VM $d"
done
# The same change is accepted once signed: only the signature was wrong before.
# shellcheck disable=SC2046
expect_status 200 "the change, signed" -X POST -f "$DIR/raw.json" \
	$(key_option operators-old) "$(operator_address 1)" /v1/config
[ "$(version 1)" = $((base + 1)) ] || fail "the signed change made no version"

# The endpoints' listeners.  The announcement is taken from an emulated endpoint
# that announces itself to no VM.
ENDPOINT_KEY=''
start_runner 9 --entries ""
unknown_endpoint=$(endpoint_address 9)
wait_for 5 "the unknown endpoint" $DL_HTTP "$unknown_endpoint" /v1/load || exit 1
$DL_HTTP "$unknown_endpoint" /v1/load >"$DIR/announcement"
announce_unknown_endpoint() { # STATUS WHAT D OPTION...
	status=$1 what=$2 d=$3
	shift 3
	expect_status "$status" "$what" -X POST -f "$DIR/announcement" "$@" \
		"$(endpoint_listener "$d")" /v1/endpoints
}
endpoint_is_known() { # D
	"$DL_BIN" status --json --entry "$(operator_address "$1")" |
		grep -q "\"$unknown_endpoint\""
}
for d in 1 2 3; do
	announce_unknown_endpoint 401 "an unsigned announcement" $d
	# shellcheck disable=SC2046
	announce_unknown_endpoint 401 "one by another key" $d $(key_option other)
	# shellcheck disable=SC2046
	announce_unknown_endpoint 401 "one by the operators' key" $d $(key_option operators-old)
	# shellcheck disable=SC2046
	announce_unknown_endpoint 401 "a replayed one" $d $(key_option endpoints-old) \
		--signed-ago 130000
done
for listener in "$(operator_address 1)" "$(vm_address 1 1):$HTTP_PORT"; do
	# shellcheck disable=SC2046
	expect_status 404 "an announcement at $listener" -X POST -f "$DIR/announcement" \
		$(key_option endpoints-old) "$listener" /v1/endpoints
done
# An endpoint that keeps announcing itself unsigned is still unknown after its
# third announcement.
start_runner 12
sleep 2
unknown_endpoint=$(endpoint_address 12)
for d in 1 2 3; do
	endpoint_is_known $d && fail "VM $d registered an endpoint whose announcements are unsigned"
done
kill -KILL "$(pid_of endpoint_12)"
ENDPOINT_KEY=$DIR/endpoints-new.key
start_runner 12
known_at_any_vm() {
	endpoint_is_known 1 || endpoint_is_known 2 || endpoint_is_known 3
}
wait_for 5 "the endpoint that now signs" known_at_any_vm || exit 1
unknown_endpoint=$(endpoint_address 9)
for d in 1 2 3; do
	endpoint_is_known $d && fail "VM $d registered an endpoint whose announcement was unsigned"
done
# shellcheck disable=SC2046
announce_unknown_endpoint 200 "a signed announcement" 1 $(key_option endpoints-new)
wait_for 5 "the endpoint that signed" endpoint_is_known 1 || exit 1

# Callers need no key, and their paths are not served on the other listeners.
for listener in "$(operator_address 1)" "$(endpoint_listener 1)"; do
	expect_status 404 "a completion at $listener" -X POST -d '{}' "$listener" \
		/v1/completions
	expect_status 404 "a call at $listener" "$listener" "/s/$PLAIN_SERVICE/x"
	expect_status 200 "health at $listener" "$listener" /healthz
done
for_each_vm entry_serves_plain || fail "callers are not served"

# Key rotation, VM by VM: the old key is rejected where it was removed, and
# endpoints that still sign with it are known through the other VMs.
VALID=new
kill -TERM "$(pid_of entry_2_1)"
expect_exit 10 entry_2_1 0 || fail "VM 2 does not stop"
start_entry 2 1
wait_for 15 "VM 2" entry_ready 2 1 || exit 1
apply_as 2 "$DIR/operators-old.key" && fail "the old key is still accepted"
# shellcheck disable=SC2046
announce_unknown_endpoint 401 "an announcement by the old key" 2 $(key_option endpoints-old)
# shellcheck disable=SC2046
announce_unknown_endpoint 200 "an announcement by the new key" 2 $(key_option endpoints-new)
apply_as 2 "$DIR/operators-new.key" ||
	fail "the new key was rejected: $(cat "$DIR/apply-as.log")"
apply_as 1 "$DIR/operators-old.key" ||
	fail "the old key was rejected where it is valid: $(cat "$DIR/apply-as.log")"
wait_for 15 "models at VM 2" entry_serves_model 2 1 || exit 1

for path in /metrics /v1/traces /v1/status; do
	for d in 1 2 3; do
		# shellcheck disable=SC2046
		expect_status 200 "$path at VM $d" $(key_option operators-new) \
			"$(operator_address $d)" $path
		cat "$DIR/answer" >>"$DIR/answers"
	done
done
grep -q . "$DIR/entry-1-1.log" || fail "VM 1 logs nothing"
! grep -l "$MARK" "$DIR"/*.log "$DIR/answers" "$DIR/record" ||
	fail "a secret was exposed"
