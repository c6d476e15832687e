#!/bin/sh
# Seeded random run: endpoints reject requests with Retry-After or announce in
# responses that they are leaving, while VMs are killed, stopped, suspended and
# partitioned, singly and at once.
#
#   DL_RANDOM_SEED, DL_RANDOM_SECONDS   for long manual runs
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
SEED=${DL_RANDOM_SEED:-1}
DURATION=${DL_RANDOM_SECONDS:-12}
ALLOW_CUT=1
SEPARATE_DOMAINS=1
test_begin dala
. test/platform_deploy.sh

GRACE_MS=500
ALLOWED=2
DRAIN_MS=2000

# Print the steps, one per line: delay in seconds, action, target.
print_plan() {
	awk -v seed="$SEED" -v left="$DURATION" 'BEGIN {
		srand(seed)
		n = split("shed shed shed-short unshed leave kill stop freeze " \
			"cut all-desks", what, " ")
		while (left > 0) {
			pause = 0.2 + rand() * 1.2
			left -= pause
			w = what[1 + int(rand() * n)]
			kind = rand() < 0.5 ? "w" : "d"
			whom = w ~ /kill|stop|freeze/ ? 1 + int(rand() * 3) : \
				kind (1 + int(rand() * 4))
			printf "%.2f %s %s\n", pause, w, whom
		}
	}'
}

# Exempt a VM from the check up to now: it has lost its state in a restart, or
# could not act while it was suspended.
exempt_vm() { # VM
	echo "$(wall_ms) excused x$1x" >>"$DIR/arrivals"
}

restart_vm() { # VM
	start_process entry "$1"
	exempt_vm "$1"
}

run_step() { # WHAT WHOM
	case $1 in
	shed) shed 2.5 "$2" ;;
	shed-short) shed 0.8 "$2" ;;
	unshed) rm -f "$DIR/shed-$2" ;;
	leave) kill -USR1 "$(pid_of "runner_$2")" ;;
	kill)
		kill -KILL "$(pid_of "entry_$2")"
		restart_vm "$2"
		;;
	stop)
		kill -TERM "$(pid_of "entry_$2")"
		sleep 0.5
		kill -KILL "$(pid_of "entry_$2")" 2>/dev/null
		restart_vm "$2"
		;;
	freeze)
		kill -STOP "$(pid_of "entry_$2")"
		sleep 0.7
		kill -CONT "$(pid_of "entry_$2")"
		exempt_vm "$2"
		;;
	cut) if [ -e "$DIR/cut-3" ]; then reconnect_vm_3; else isolate_vm_3; fi ;;
	all-desks) shed 1.5 d1 d2 d3 d4 ;;
	esac
}

# Print three counts: the most requests of one VM that reached an endpoint
# during one Retry-After; the requests that reached an endpoint later than
# DRAIN_MS after it told their VM that it is leaving; the rejected requests.
count_violations() {
	sort -n "$DIR/arrivals" | awk -v grace=$GRACE_MS -v drain=$DRAIN_MS '
		{
			vm = substr($3, 2, 1)
			at[NR] = $1
			who[NR] = $2 " " vm
			by[NR] = vm
			excused[NR] = $2 == "excused"
			wait[NR] = $4 == "shed" ? $5 * 1000 : 0
			if (excused[NR])
				for (w in told)
					if (w ~ " " vm "$")
						delete told[w]
			if (told[who[NR]] && $1 > told[who[NR]] + drain)
				leaving++
			if ($4 == "leaving" && !told[who[NR]])
				told[who[NR]] = $1
		}
		END {
			for (i = 1; i <= NR; i++) {
				got = 0
				for (k = i + 1; k <= NR && wait[i] > grace &&
				     at[k] <= at[i] + wait[i]; k++) {
					if (excused[k] && by[k] == by[i])
						break
					got += who[k] == who[i] &&
						at[k] > at[i] + grace
				}
				if (got > most)
					most = got
				asked += wait[i] > 0
			}
			print most + 0, leaving + 0, asked + 0
		}'
}

start_all
start_shedding_runners --unheard
configure_all '"key-one"'
load_all 2
: >"$DIR/arrivals"
print_plan >"$DIR/plan"
while read -r pause what whom; do
	sleep "$pause"
	run_step "$what" "$whom" 2>/dev/null
done <"$DIR/plan"
read -r most leaving asked <<JUDGED
$(count_violations)
JUDGED
echo "seed $SEED: $(wc -l <"$DIR/plan") steps, $asked rejected," \
	"at most $most during one Retry-After, $leaving at a leaving endpoint"
[ "$asked" -gt 0 ] || fail "no request was rejected"
[ "$most" -le $ALLOWED ] || fail "$most requests during one Retry-After"
[ "$leaving" -eq 0 ] || fail "$leaving requests at a leaving endpoint"
