#!/bin/sh
# A long answer of a plain service of the native API whose run breaks off is not
# completed with bytes of another run.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
VMS_EACH=1
DL_RUNNERS=3
test_begin dala
. test/long_answers.sh

call() { # EXPECTED STOP [OPTION...]
	expected=$1 stop=$2
	shift 2
	long_answer "$expected" 200 2000000 "$stop" "$(vm_address 2 1):$HTTP_PORT" \
		"/s/$PLAIN_SERVICE/" -H 'Daisyledge-Deadline-Ms: 7000' "$@"
}

deploy_start || fail "the deployment does not start"
for i in 4 5 6; do
	kill -KILL "$(pid_of endpoint_$i)"
	start_plain $i --endings "$ENDINGS" --slots 200
done
for d in 1 2 3; do
	wait_for 10 "the service at $d" entry_serves_plain $d 1 ||
		fail "no service at $d"
done

call whole 2000000 -H 'Daisyledge-Idempotent: yes'
call whole 500000 -H 'Daisyledge-Idempotent: yes'
call broken 1500000 -H 'Daisyledge-Idempotent: yes'
call broken 1500000 -H 'Daisyledge-Idempotent: no'
end_long_answers
ids=$(grep -c 'An answer was broken off' "$DIR/entry-2-1.log")
[ "$ids" -eq 2 ] || fail "$ids answers are logged as broken off"
