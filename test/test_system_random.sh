#!/bin/sh
# Seeded random faults on the real binary: runners and VMs are killed, suspended
# and drained, and runners get injected faults, singly and at once, under a load
# of all classes.
#
#   DL_RANDOM_SEED, DL_RANDOM_SECONDS   for long manual runs
#   DL_RANDOM_RATE                      multiplies the rates of the classes
#   DL_FIGURES=1                        print figures for the benchmark
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
SEED=${DL_RANDOM_SEED:-1}
DURATION=${DL_RANDOM_SECONDS:-8}
VMS_EACH=2
DL_RUNNERS=9
test_begin dala
set_gap_timeout 800
deploy_start || fail "the deployment does not start"

# The VMs that may be killed or suspended; callers of other VMs must see no
# failure.
FAULTY_VMS="2_1 1_2 3_2"

# Print the faults, one per line: delay in seconds, fault, target.
print_plan() {
	awk -v seed="$SEED" -v total="$DURATION" -v runners="$RUNNERS" \
		-v faulty_vms="$FAULTY_VMS" 'BEGIN {
		srand(seed)
		n = split("kill freeze drain die-first die-midstream " \
			"silent-head silent-midstream not-run garble error " \
			"vm-kill vm-freeze replica-kill", what, " ")
		v = split(faulty_vms, vm, " ")
		left = total - 1.5
		while (left > 0) {
			pause = 0.2 + rand() * 0.8
			left -= pause
			w = what[1 + int(rand() * n)]
			whom = w ~ /^vm-/ ? vm[1 + int(rand() * v)] : \
				1 + int(rand() * (w == "replica-kill" ? 3 : \
				runners))
			printf "%.2f %s %s\n", pause, w, whom
		}
	}'
}

apply_fault() { # WHAT WHOM
	case $1 in
	kill)
		kill -KILL "$(pid_of endpoint_$2)" 2>/dev/null
		start_runner "$2"
		;;
	freeze)
		kill -STOP "$(pid_of endpoint_$2)" 2>/dev/null
		( sleep 1.2; kill -CONT "$(pid_of endpoint_$2)" ) 2>/dev/null &
		record_pid resume $!
		;;
	drain)
		kill -TERM "$(pid_of endpoint_$2)" 2>/dev/null
		;;
	vm-kill)
		record_vm_down "${2%_*}" "${2#*_}"
		kill -KILL "$(pid_of entry_$2)" 2>/dev/null
		sleep 0.3
		start_entry "${2%_*}" "${2#*_}"
		record_vm_up "${2%_*}" "${2#*_}"
		;;
	vm-freeze)
		record_vm_down "${2%_*}" "${2#*_}"
		kill -STOP "$(pid_of entry_$2)" 2>/dev/null
		(
			sleep 1.5
			kill -CONT "$(pid_of entry_$2)" 2>/dev/null
			record_vm_up "${2%_*}" "${2#*_}"
		) &
		record_pid resume $!
		;;
	replica-kill)
		kill -KILL "$(pid_of replica_${2}_1)" 2>/dev/null
		sleep 0.3
		start_replica "$2"
		;;
	*)
		$DL_HTTP -t 300 -X POST -d "{\"fault\":\"$1\",\"times\":2}" \
			"$(endpoint_address "$2")" /fake/fault >/dev/null
		;;
	esac
}

print_plan >"$DIR/plan"
while read -r pause what whom; do
	sleep "$pause"
	echo "$what $whom" >>"$DIR/injected_faults"
	apply_fault "$what" "$whom"
done <"$DIR/plan" &
record_pid fault_injector $!
run_load --seed "$SEED" --seconds "$DURATION" \
	--rate "${DL_RANDOM_RATE:-1}" \
	>"$DIR/table" 2>"$DIR/faults"
status=$?
injected=$(wc -l <"$DIR/injected_faults")
violations=$(awk -F'[(, ]+' '/judged/ { for (i = 2; i <= NF; i++)
	if ($i ~ /^broken/ && $(i - 1) ~ /^[0-9]+$/) sum += $(i - 1) }
	END { print sum + 0 }' "$DIR/table")
if [ -n "${DL_FIGURES:-}" ]; then
	printf 'faults_injected\t%d\tfaults\n' "$injected"
	printf 'call_violations\t%d\tcalls\n' "$violations"
	exit 0
fi
cat "$DIR/table"
echo "seed $SEED: $injected faults, $violations violations"
[ $status -eq 0 ] || {
	cat "$DIR/injected_faults" "$DIR/faults" >&2
	fail "seed $SEED violates a guarantee"
}
