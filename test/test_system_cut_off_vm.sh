#!/bin/sh
# VMs that lose their links to all endpoints serve as the others do: new
# connections are refused or hang while old ones live on, hang or are reset.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
test_begin dala
. test/platform_deploy.sh
. test/net_deploy.sh
. test/cut_off.sh

CUT_S=5
# Cut VMs off and check what they serve then and after it: run_cut WHAT HOW VM...
# HOW: refuse, hang or reset.  Open connections are cut off at VM 1 only.
run_cut() {
	what=$1 how=$2
	shift 2
	begin=$(wall_ms)
	cut_links $how "$@"
	sleep $CUT_S
	end=$(wall_ms)
	heal_links $how "$@"
	sleep 3
	check_share "$what" $((begin + SETTLE_MS)) "$end" "$@"
	check_share "$what, healed" $((end + HEALED_MS)) "$(wall_ms)" "$@"
}

failures=
start_all

dispatcher=$(dispatcher_of writer)
run_cut "one VM, refused" refuse 1
run_cut "one VM, hanging" hang 1
run_cut "one VM, reset" reset 1
run_cut "the dispatching VM, hanging" hang "$dispatcher"
run_cut "two VMs of three, refused" refuse 1 2
run_cut "two VMs of three, hanging" hang 2 3

end_checks
