# p99.9 of each way over the oracle's, from picking.tsv; run in the project's root
set terminal svg size 1100,560 font "sans,12"
set output "docs/picking.svg"
set datafile separator "\t"
set title "p99.9 against the oracle's in the same scenario"
set ylabel "times"
set logscale y 2
set yrange [0.5:64]
set style data histogram
set style histogram clustered gap 1
set style fill solid 0.8 noborder
set key outside right
set xtics rotate by -30
set grid ytics
set linetype 9 lc rgb "#8c564b"
set linetype 10 lc rgb "#7f7f7f"
ways = system("cut -f2 docs/picking.tsv | tail -n +2 | awk '!s[$0]++' | grep -v '^oracle$'")
ratio(w) = sprintf("< awk -F'\\t' '$2 == \"oracle\" {o[$1] = $6} $2 == \"%s\" {v[$1] = $6; n[++k] = $1} END {for (i = 1; i <= k; i++) print n[i] \"\\t\" v[n[i]] / o[n[i]]}' docs/picking.tsv", w)
plot for [w in ways] ratio(w) using 2:xtic(1) title w
