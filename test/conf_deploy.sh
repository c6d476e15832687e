# Shell functions for system tests that change large configurations in the
# platform's protocol: the list of routes, changes as an operator sends them, and
# what the entries log of versions.  To be sourced after test/platform_deploy.sh.
METRICS_PORT=7500
ROUTES=1300
# How long a group with a leader and disks that work may take to accept a change,
# in seconds; a script may set another value.
ACCEPT_S=5
# The same in all, with changes of leader and writes that do not finish.
ACCEPT_ALL_S=40
# A replica answers after 3 s that a change is not committed.  A shorter timeout
# would end before that answer.
PUT_MS=4000
# The timeout of the route of streams.
STREAM_MS=5000

# As in platform_deploy.sh, and entries have an address for metrics.
start_process() { # ROLE D FOUND
	write_platform_settings "$@"
	[ "$1" = replica ] ||
		sed -i "s/\"foreign\":true,/&\"metrics\":\"127.$NET.$2.1:$METRICS_PORT\",/" \
			"$DIR/entry-$2.json"
	DAISYLEDGE_SETTINGS="$DIR/$1-$2.json" "$DL_BIN" "$1" \
		>>"$DIR/$1-$2.log" 2>&1 &
	record_pid "$1_$2" $!
}

counter() { # D NAME
	metric "127.$NET.$1.1:$METRICS_PORT" "$2"
}

# The host of a route; those of neighbors have nothing in common, as they would
# deflate to almost nothing otherwise.
route_host() { # ROUTE
	echo "$(printf %s "$1" | md5sum | cut -c1-12).example"
}

# Write $DIR/routes: ROUTES routes, each followed by a comma, on one line.  The
# path of route N is /N/, followed by SUFFIX.
write_routes() { # [SUFFIX]
	mkdir "$DIR/hosts"
	# A process for each host would take longer than the rest of the test.
	(
		cd "$DIR/hosts" &&
			awk -v n=$ROUTES 'BEGIN {
				for (i = 1; i <= n; i++) {
					printf "%s", i >i
					close(i)
				}
			}' &&
			# shellcheck disable=SC2046
			md5sum $(seq 1 $ROUTES)
	) | awk -v suffix="${1:-}" '{
		printf "{\"name\":\"r%s\",\"host\":\"%s.example\",\"path_prefix\":\"/%s/%s\",\"kind\":\"idempotent\",\"timeout_ms\":2000,\"target_latency_ms\":100,\"priority\":1,\"service\":\"desk\",\"attempts\":2,\"public\":true},",
			$2, substr($1, 1, 12), $2, suffix
	}' >"$DIR/routes"
	rm -r "$DIR/hosts"
}

# Write $DIR/large.VERSION, a configuration with the routes of standard input, each
# followed by a comma, before the others.
write_large() { # VERSION
	config "$1" $STREAM_MS '"key-one"' >"$DIR/config.part"
	{
		sed 's/"routes":\[.*/"routes":[/' "$DIR/config.part"
		cat
		sed 's/.*"routes":\[//' "$DIR/config.part"
	} | tr -d '\n' >"$DIR/large.$1"
}

# Submit $DIR/large.VERSION as put_config does; each answer goes to $DIR/puts.log.
put_large() { # VERSION
	for d in 1 2 3; do
		$DL_HTTP -i -t $PUT_MS -X POST -f "$DIR/large.$1" \
			"$(control_address $d)" /-/Config.Put >"$DIR/put" 2>&1
		put_status=$?
		echo "$(wall_ms) version $1, replica $d, status $put_status: $(tr -d '\r' <"$DIR/put" | sed -n '1p;$p' | tr '\n' ' ')" \
			>>"$DIR/puts.log"
		[ $put_status -eq 0 ] && return 0
	done
	return 1
}

# How often a replica has become the leader.
count_leaders() {
	cat "$DIR"/replica-?.log | grep -c 'replica: Leading\.'
}

# Whether writes of two of the three replicas do not finish, so that no change can
# be committed.
writes_hang() {
	hanging=0
	for log in "$DIR"/replica-?.log; do
		grep -E 'Started\.|A write (does not finish|that took long)' "$log" |
			tail -n 1 | grep -q 'does not finish' &&
			hanging=$((hanging + 1))
	done
	[ $hanging -ge 2 ]
}

# Submit $DIR/large.VERSION until it is accepted.  As an operator has to, it is
# repeated under the same number after a refusal or without an answer: a change
# that could not be confirmed may be in force, and the repetition is acknowledged
# then.  The time that is allowed begins anew with another leader, and once writes
# finish that took longer than a second.
accept_change() { # VERSION
	accept_begun=$(date +%s)
	accept_since=$accept_begun
	leaders=$(count_leaders)
	until put_large "$1"; do
		now=$(date +%s)
		if writes_hang || [ "$(count_leaders)" -ne "$leaders" ]; then
			accept_since=$now
			leaders=$(count_leaders)
		fi
		[ $((now - accept_since)) -le $ACCEPT_S ] &&
			[ $((now - accept_begun)) -le $ACCEPT_ALL_S ] ||
			fail "change $1 is not accepted: $(tail -n 3 "$DIR/puts.log")"
		sleep 0.1
	done
}

versions_in_force() { # D
	grep 'Configuration in force' "$DIR/entry-$1.log"
}

last_in_force() { # D
	versions_in_force "$1" | tail -n 1
}

# The value of a field of a log line.
field() { # LINE NAME
	echo "$1" | sed -n "s/.* $2=\([0-9]*\).*/\1/p"
}

# Whether the versions of each life of a VM only rose, and it could use them all.
check_order() { # D
	awk '/entry: Started/ { last = 0 }
		/Configuration in force/ {
			split($0, at, "version="); v = at[2] + 0
			if (v <= last) exit 1
			last = v
		}' "$DIR/entry-$1.log" || fail "a version went back at entry $1"
	grep -q 'configuration is invalid\|reason=damaged\|reason=digest\|reason=faults' \
		"$DIR/entry-$1.log" && fail "entry $1 could not use a version"
	return 0
}
