#!/bin/sh
# A runner deregisters and goes on to serve for some seconds; right after that
# two processes are killed at the same moment and start again, and a heartbeat
# that the runner had sent before arrives late.
cd "$(dirname "$0")/../.." || exit 2
. review/deployment.sh
begin review/3

cat >"$DIR/config.json" <<END
{"version":5,"routes":[{"name":"hold","host":"h.example","path_prefix":"/hold/","kind":"non_idempotent","timeout_ms":4000,"target_latency_ms":300,"priority":2,"service":"termini","attempts":2,"public":false}],"services":[{"name":"termini","health_path":"/health","max_conns":96,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"team","api_keys":["key-one"],"priority":1}]}
END
start_deployment "$DIR/config.json"

# The entry that grants runners of the service to requests.
dispatcher() {
	disp=$(grep -l 'Dispatching begins here. service=termini' "$DIR"/entry-?.log |
		sed 's/.*entry-\(.\).log/\1/' | head -1)
	[ -n "$disp" ]
}
wait_for 5 "a dispatcher" dispatcher
echo "entry $disp dispatches" >>"$RECORD"
# A replica that does not lead; the runner of this VM's zone sends it heartbeats.
home=$(grep -L 'Leading' "$DIR"/replica-?.log | sed 's/.*replica-\(.\).log/\1/' |
	head -1)
echo "replica $home gets the heartbeats of runner i-$disp" >>"$RECORD"

for n in 1 2 3; do
	start_runner "i-$n" $n --service termini --zone z$n --work-ms 300 \
		--home $((home - 1)) --late-ms 3000 --linger-ms 2400
done
for n in 1 2 3; do
	wait_for 10 "runner i-$n" runner_is_known "i-$n"
done
sleep 3.5

send() { # TAG COUNT GAP
	n=0
	while [ $n -lt "$2" ]; do
		n=$((n + 1))
		"$STANDIN" call --to 127.$NET.$disp.1:$FRONT_PORT --method POST --path /hold/2f \
			--key key-one --attempt "$1$n" --deadline-ms 4000 \
			--record "$RECORD" >>"$DIR/answers" &
		CALLS="$CALLS $!"
		sleep "$3"
	done
}

CALLS=
send before 8 0.1
kill -USR1 "$(pid_of runner_i-$disp)"
wait_for 3 "the deregistration" in_record "runner i-$disp deregistered"
sleep 0.2
if [ "$TROUBLE" != 0 ]; then
	kill -KILL "$(pid_of entry_$disp)" "$(pid_of replica_$home)"
	echo "$(date +%s%3N) entry $disp and replica $home are killed" >>"$RECORD"
	sleep 0.5
	start_entry "$disp"
	start_replica "$home" false
	echo "$(date +%s%3N) they start again" >>"$RECORD"
fi
# In touch again stability_window_ms (3 s) later.
sleep 3.3
echo "$(date +%s%3N) all machines are in touch" >>"$RECORD"
send after 30 0.08
for pid in $CALLS; do
	wait "$pid"
done
grep -q 'status=200' "$DIR/answers" || not_run "no request was served"
acked=$(sed -n "s/^\([0-9]*\) runner i-$disp deregistered.*/\1/p" "$RECORD")
late=$(awk -v acked="$acked" '/runner i-'"$disp"' runs after/ && $1 > acked + 2000 { n++ } END { print n + 0 }' "$RECORD")
lost=$(grep -c 'client after.* got status=50[24]' "$RECORD")
echo "requests, not to be repeated, that were broken off when it exited: $lost" | tee -a "$RECORD"
echo "requests that reached the runner later than drain_ms (2 s) after the acknowledgement: $late" | tee -a "$RECORD"
if [ "$late" -gt 0 ]; then
	echo "BROKEN: DRAIN" | tee -a "$RECORD"
	exit 1
fi
echo "held" | tee -a "$RECORD"
exit 0
