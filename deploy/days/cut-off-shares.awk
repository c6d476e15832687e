# Prints what was served, in a part of a day, at the VMs that lost their links
# to endpoints and at the others.  Input is the log of the entries as the bench
# writes it: second, VM, line.
#	awk -v from=8 -v to=17 -f deploy/days/cut-off-shares.awk LOG
# A VM belongs to the first if it said so from 4 s before the part on.
$1 + 0 >= from - 4 && $1 + 0 < to && /cut off from a service/ {
	cut[$2] = 1
}

$1 + 0 >= from && $1 + 0 < to && /A request ended/ && !/service= / {
	vm[n] = $2
	served[n++] = /outcome=done|status=500|status=504.*sent=1/
}

END {
	for (i = 0; i < n; i++) {
		is_cut = vm[i] in cut
		ended[is_cut]++
		done[is_cut] += served[i]
	}
	for (m in cut)
		vms++
	printf "%d VMs cut off: %d of %d served; the others %d of %d\n",
		vms, done[1], ended[1], done[0], ended[0]
}
