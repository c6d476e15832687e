#!/bin/sh
# A long answer whose run breaks off is not completed with bytes of another run.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
test_begin dala
. test/platform_deploy.sh
. test/long_answers.sh

call() { # EXPECTED STATUS STOP ROUTE
	long_answer "$1" "$2" 12000000 "$3" "$(entry_address 1)" "/$4/" \
		-H "$HOST" -H "$KEY" -H "Daisyledge-Attempt-Id: $4$n" \
		-H 'Daisyledge-Deadline-Ms: 7000' \
		-H 'Daisyledge-Token-Usage: 1000,50' -X POST -d x
}

start_all
wait_for 10 "the first configuration" put_config \
	"$(config 5 8000 '"key-one"' | sed 's/"timeout_ms":2000/"timeout_ms":8000/g')" ||
	fail "the first configuration is not accepted"
for d in 1 2 3; do
	wait_for 10 "entry $d" entry_is_ready $d || fail "entry $d is not ready"
done
for i in 1 2 3; do
	start_platform_endpoint d$i 2$i --service desk --plain --endings "$ENDINGS"
	start_platform_endpoint w$i 1$i --service writer --endings "$ENDINGS"
done
wait_endpoints_known d1 d2 d3 w1 w2 w3
sleep 5 # until the VM has earned a part of the retry budget

call whole 200 12000000 look
call whole 200 4000000 look
call broken 200 10000000 look
call broken 200 10000000 book
# Answers to streams that are no events.
call whole 201 12000000 chat
call whole 201 4000000 chat
call broken 201 10000000 chat
call broken 201 10000000 look
end_long_answers
ids=$(grep -c 'An answer was broken off' "$DIR/entry-1.log")
[ "$ids" -eq 4 ] || fail "$ids answers are logged as broken off"
