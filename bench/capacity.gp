# Plot one slope: the measured points, the fit up to the target size and, if
# given, the limit.  bench/capacity.sh sets the variables.
set terminal svg size 460,300 font "sans,11" background "white"
set output out
set title name noenhanced
set xlabel xlabel noenhanced
set ylabel ylabel noenhanced
set key left top samplen 2 noenhanced
set samples 2
set xrange [0:xmax]
set yrange [0:*]
set format y "%.3g"
if (limit > 0) {
	plot points using 2:3 with points pt 7 ps 0.7 title "measured", \
		a + b * x with lines title "fit", \
		limit with lines dashtype 2 title "limit"
} else {
	plot points using 2:3 with points pt 7 ps 0.7 title "measured", \
		a + b * x with lines title "fit"
}
