#!/bin/sh
# Measure the slopes (cost per unit of size) in docs/CAPACITY.md.
#
#   capacity.sh          measure, fit, plot, and compare the page with the
#                        result; fails where the page differs
#   capacity.sh write    measure, fit, plot, and write the page's tables
#   capacity.sh page     compare the page with the last measurement
#
# DL_CAPACITY_PATH=no skips the measurement with real processes and reports it.
#
# The page has three tables, delimited by HTML comments.  slopes: a
# least-squares fit for each slope, with the largest residual as a fraction of
# the largest value.  faults: counts at 370 VMs.  derived: awk expressions over
# the slopes, where NAME(x) is the fit at x and NAME_per its slope.  Tolerances
# by kind: count 1%, state and instr 10%, time a factor of 3 in either
# direction.
set -eu
cd "$(dirname "$0")/.."
page=docs/CAPACITY.md
mode=${1:-check}
points=build/capacity.points
table=build/capacity.tsv
faults=build/capacity.faults
plots=docs/capacity
bin=build/capacity

# name kind x unit target limit
slopes() {
	cat <<'END'
memb_bytes count VMs B/s 370 12000
memb_digest_bytes count VMs B/s 370 12000
memb_msgs count VMs 1/s 370 0
memb_digest_msgs count VMs 1/s 370 0
memb_state state VMs B 370 64000000
memb_cpu_us time VMs us/s 370 19000
request_bytes count requests/s B/s 400 12000
stream_bytes count streams B/s 1600 12000
batch_bytes count entries B/s 150 12000
endpoint_bytes count endpoints B/s 120 12000
domain_bytes count domains B/s 5 12000
grant_state state grants B 2516 64000000
endpoint_state state endpoints B 120 64000000
request_instr instr requests/s instr 400 0
endpoint_instr instr endpoints instr 120 0
conf_text count workspaces B 32000 0
conf_state state workspaces B 32000 64000000
conf_parse_us time workspaces us 32000 42000
conf_compare_us time workspaces us 32000 0
conf_instr instr workspaces instr 32000 0
orders_state state endpoints B 600 64000000
orders_instr instr endpoints^2 instr 360000 0
workspace_state state workspaces B 32000 64000000
change_state state changes B 200 64000000
claim_state state claims B 100000 64000000
claim_snapshot count claims B 100000 0
rlog_bytes count changes/min B/s 400 12000
rlog_instr instr changes/min instr 400 0
token_bytes count tokens B 8000 0
token_instr instr tokens instr 8000 0
path_token_us time tokens/s us/s 4800 0
path_request_us time requests/s us/s 200 0
path_peak_kb time streams kB 80 0
END
}

# Count the instructions of an operation: instructions SLOPE X
instructions() {
	valgrind --tool=cachegrind --cache-sim=no \
		--cachegrind-out-file=/dev/null "$bin" instr "$1" "$2" 2>&1 |
		awk -v s="$1" -v x="$2" '/I *refs/ {
			gsub(",", "", $NF); print s "\t" x "\t" $NF }'
}

measure() {
	mkdir -p build "$plots"
	"$bin" points >"$points"
	for x in 50 100 200 400; do
		instructions request_instr $x
	done >>"$points"
	for x in 8 30 60 120; do
		instructions endpoint_instr $x
	done >>"$points"
	for x in 1000 4000 16000 32000; do
		instructions conf_instr $x
	done >>"$points"
	for x in 75 150 300 600; do
		instructions orders_instr $x | awk -v OFS='\t' '{ $2 *= $2; print }'
	done >>"$points"
	for x in 0 100 200 400; do
		instructions rlog_instr $x
	done >>"$points"
	for x in 1000 2000 4000 8000; do
		instructions token_instr $x
	done >>"$points"
	if [ "${DL_CAPACITY_PATH:-yes}" = yes ]; then
		sh bench/capacity_path.sh >>"$points"
	else
		echo "capacity: skipped bench/capacity_path.sh" >&2
	fi
	"$bin" faults >"$faults"
}

# Write one row per slope, tab separated: name kind x-unit unit intercept slope
# residual
fit() {
	slopes | awk -v OFS='\t' '
		NR == FNR { n[$1]++; x[$1, n[$1]] = $2; y[$1, n[$1]] = $3; next }
		!n[$1] { next }
		{
			sx = sy = sxx = sxy = top = worst = 0
			for (i = 1; i <= n[$1]; i++) {
				sx += x[$1, i]; sy += y[$1, i]
				sxx += x[$1, i] ^ 2
				sxy += x[$1, i] * y[$1, i]
				if (y[$1, i] > top) top = y[$1, i]
			}
			d = n[$1] * sxx - sx ^ 2
			b = (n[$1] * sxy - sx * sy) / d
			a = (sy - b * sx) / n[$1]
			for (i = 1; i <= n[$1]; i++) {
				r = y[$1, i] - a - b * x[$1, i]
				if (r < 0) r = -r
				if (r > worst) worst = r
			}
			printf "%s\t%s\t%s\t%s\t%.6g\t%.6g\t%.4f\n", $1, $2, \
				$3, $4, a, b, top ? worst / top : 0
		}' "$points" - >"$table"
}

plot() {
	slopes | while read -r name _ xunit unit target limit; do
		row=$(grep "^$name	" "$table") || continue
		a=$(echo "$row" | cut -f5)
		b=$(echo "$row" | cut -f6)
		grep "^$name	" "$points" >build/plot.points
		top=$(awk -v a="$a" -v b="$b" -v t="$target" '
			$3 > m { m = $3 }
			END { y = a + b * t; print (y > m ? y : m) }' \
			build/plot.points)
		# A limit far above all measured values would flatten the plot.
		limit=$(awk -v l="$limit" -v t="$top" \
			'BEGIN { print (l < 4 * t ? l : 0) }')
		xmax=$(awk -v t="$target" '$2 > t { t = $2 }
			END { print t * 1.05 }' build/plot.points)
		gnuplot -e "name='$name'; out='$plots/$name.svg'" \
			-e "points='build/plot.points'; xlabel='$xunit'" \
			-e "ylabel='$unit'; a=$a; b=$b; limit=$limit" \
			-e "xmax=$xmax" bench/capacity.gp
		# Remove empty groups, which are half of the file.
		awk 'prev ~ /^<g / && $0 == "</g>" { prev = ""; next }
			prev != "" { print prev }
			{ prev = $0 }
			END { print prev }' "$plots/$name.svg" >build/plot.svg
		cp build/plot.svg "$plots/$name.svg"
	done
}

# The rows of a table of the page, cells tab separated.
table_rows() {
	awk -v m="$1" '
		index($0, "<!-- /" m " -->") { on = 0 }
		on && /^\| / { row++; if (row > 1) {
			gsub(/^\| | \|$/, ""); gsub(/ \| /, "\t"); print } }
		index($0, "<!-- " m " -->") { on = 1 }' "$page" |
		grep -v '^---'
}

# Print awk code that defines NAME(x) and NAME_per for each row of slopes on
# stdin.
functions() {
	awk -F '\t' '{
		printf "function %s(x) { return %s + %s * x }\n", $1, $5, $6
		init = init sprintf("%s_per = %s;", $1, $6)
	} END { print "BEGIN {" init "}" }'
}

# Print "name value" for each derived row, computed from the slopes on stdin.
derive() {
	functions >build/derive.awk
	table_rows derived | awk -F '\t' '{
		gsub(/`/, "", $3)
		printf "BEGIN { printf \"%%s\\t%%.3g\\n\", \"%s\", %s }\n", $1, $3
	}' >>build/derive.awk
	awk -f build/derive.awk </dev/null | awk -v OFS='\t' '
		$2 >= 1000 { $2 = sprintf("%.0f", $2) }
		{ print $1, $2 }'
}

# Replace the rows of a table of the page: replace_table NAME FILE
replace_table() {
	awk -v m="$1" -v f="$2" '
		index($0, "<!-- /" m " -->") { on = 0 }
		!on { print }
		on && /^\| / && head < 1 { print; head++; next }
		on && /^\|--/ {
			print
			while ((getline line < f) > 0) print line
		}
		index($0, "<!-- " m " -->") { on = 1; head = 0 }' \
		"$page" >build/page && cp build/page "$page"
}

write_page() {
	awk -F '\t' '{ printf "| %s | %s | %s | %s | %s | %s | %s |\n", \
		$1, $2, $3, $4, $5, $6, $7 }' "$table" >build/rows
	replace_table slopes build/rows
	awk -F '\t' '{ printf "| %s | %s | %s |\n", $1, $2, $3 }' \
		"$faults" >build/rows
	replace_table faults build/rows
	derive <"$table" >build/derived
	table_rows derived | awk -F '\t' '
		NR == FNR { v[$1] = $2; next }
		{ printf "| %s | %s | %s | %s | %s |\n", $1, $2, $3, v[$1], $5 }
		' build/derived - >build/rows
	replace_table derived build/rows
	# Update the values that the text gives in the form `name` = value.
	awk 'NR == FNR { v[$1] = $2; next }
		{ for (k in v) gsub("`" k "` = [0-9.e+-]*[0-9]", \
			"`" k "` = " v[k]); print }' \
		build/derived "$page" >build/page && cp build/page "$page"
}

# Print "name value" for each `name` = value in the text.
values_in_text() {
	grep -o '`[a-z_0-9]*` = [0-9.e+-]*[0-9]' "$page" |
		sed 's/`//g; s/ = /	/'
}

# Check the page against the measurement.
check_page() {
	table_rows slopes >build/page.slopes
	table_rows faults >build/page.faults
	table_rows derived | cut -f1,4 >build/page.derived
	derive <build/page.slopes >build/derived
	values_in_text >build/page.text
	slopes | cut -d' ' -f1,5 >build/targets
	awk -F '\t' -v ok=1 '
		function distance(a, b) { d = a - b; if (d < 0) d = -d; return d }
		function check(name, page, now, kind, m) {
			m = page < 0 ? -page : page
			if (kind == "time")
				bad = now > 3 * page || page > 3 * now
			else
				bad = distance(page, now) > m * (kind == "count" || \
					kind == "fault" ? 0.01 : 0.1)
			if (!bad) return
			print "capacity: " name ": the page says " page \
				", measured " now
			ok = 0
		}
		FILENAME == "build/targets" { split($0, p, " "); t[p[1]] = p[2]; next }
		FILENAME == "build/page.slopes" {
			pa[$1] = $5; pb[$1] = $6; kind[$1] = $2; next }
		FILENAME == "build/page.faults" { pf[$1] = $2; next }
		FILENAME == "build/page.derived" { pd[$1] = $2; next }
		FILENAME == "build/page.text" {
			check($1 " in the text", $2, pd[$1], "count")
			seen++; next }
		FILENAME == "build/derived" {
			check($1, pd[$1], $2, "count"); seen++; next }
		FILENAME == "build/capacity.tsv" {
			if (!($1 in kind)) { print "capacity: " $1 \
				": not on the page"; ok = 0; next }
			check($1 " at " t[$1], pa[$1] + pb[$1] * t[$1], \
				$5 + $6 * t[$1], $2); seen++; next }
		FILENAME == "build/capacity.faults" {
			check($1, pf[$1], $2, "fault"); seen++; next }
		END {
			if (ok) print "capacity: the page matches: " seen \
				" numbers"
			exit !ok
		}' build/targets build/page.slopes build/page.faults \
		build/page.derived build/page.text build/derived "$table" "$faults"
}

if [ "$mode" != page ]; then
	measure
	fit
	plot
fi
if [ "$mode" = write ]; then
	write_page
fi
check_page
