#!/bin/sh
# The last endpoint of a service over the native API: a plain endpoint that
# leaves must serve the callers of its failure domain for 0.6 of the promised
# time, and get nothing after that time. The command line must name the services
# that an evacuation leaves without an endpoint.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
VMS_EACH=1
DL_RUNNERS=3
DRAIN_MS=2000
entry_settings() { # D V
	printf '"endpoint_drain_ms":%s,' $DRAIN_MS
}
test_begin dala
deploy_start || fail "the deployment does not start"
ASK=$(vm_address 2 1):$HTTP_PORT

evacuate() { # DOMAIN start|end [OPTION]
	domain=$(domain_name "$1")
	"$DL_BIN" evacuate --entry "$ASK" --timeout 8 $3 "$domain" "$2" \
		>"$DIR/evacuate.out" 2>&1 ||
		fail "the evacuation is not acknowledged"
}

names_service() { # SERVICE
	grep -q "service $1 has no endpoint outside evacuated domains" \
		"$DIR/evacuate.out"
}

# Dispatchers tell each other twice a second how many endpoints they have.
sleep 1.5
for d in 1 2; do
	evacuate $d start
	grep -q 'has no endpoint' "$DIR/evacuate.out" &&
		fail "services are named though domain 3 has endpoints"
done
evacuate 3 start
for service in $MODEL_SERVICE $PLAIN_SERVICE; do
	names_service "$service" || fail "$service is not named"
done
sleep 1.2
evacuate 3 end --json
grep -q '"services_without_endpoint": *\[' "$DIR/evacuate.out" ||
	fail "the answer as JSON does not have the list"
sleep 1.2
for d in 1 2; do
	evacuate $d end
	grep -q 'has no endpoint' "$DIR/evacuate.out" &&
		fail "services are named after the end"
done
wait_for 5 "service after the end" for_each_vm entry_serves_plain ||
	fail "no service after the end"

# The only plain endpoint of domain 1, which announces itself to the VM there,
# leaves. A VM that an endpoint has not told before that it is ready cannot know
# when it began to leave.
endpoint=
for n in 4 5 6; do
	[ "$(endpoint_domain $n)" -ne 1 ] || endpoint=$n
done
kill -KILL "$(pid_of "endpoint_$endpoint")"
ANNOUNCE_TO=$(vm_address 1 1):$HTTP_PORT
start_plain "$endpoint"
address=$(endpoint_address "$endpoint")
begun() { # FROM TO
	awk -v a="$address" -v f="$1" -v t="$2" \
		'$1 == "B" && $2 >= f && $2 < t && $3 == a' "$RECORD" | wc -l
}
restarted=$(date +%s%3N)
serves_again() {
	entry_serves_plain 1 1
	[ "$(begun "$restarted" 9999999999999)" -gt 0 ]
}
wait_for 10 "the restarted endpoint" serves_again || fail "it does not serve"
sleep 1
left=$(date +%s%3N)
kill -TERM "$(pid_of "endpoint_$endpoint")"
lost=0 calls=0
while [ "$(date +%s%3N)" -lt $((left + 5000)) ]; do
	calls=$((calls + 1))
	entry_serves_plain 1 1 >/dev/null || lost=$((lost + 1))
done
during=$(begun $((left + 200)) $((left + DRAIN_MS * 6 / 10)))
late=$(begun $((left + DRAIN_MS)) 9999999999999)
echo "native: $calls calls, $lost lost, $during at the endpoint that leaves, $late late"
[ "$late" -eq 0 ] || fail "calls reach it too late"
[ "$lost" -eq 0 ] || fail "calls are lost"
[ "$during" -gt 0 ] || fail "the last endpoint of the domain does not serve"
