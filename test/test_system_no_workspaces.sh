#!/bin/sh
# Guards against a configuration with an empty list of workspaces that lets
# everybody in: after changes, after a restart of the processes that hold it, and
# where a route turns from public to not. Without a list, no key is asked for.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
test_begin dala
. test/platform_deploy.sh

start_all
start_platform_endpoint d1 1 --service desk --plain
configure_all '"key-one"'
wait_endpoints_known d1

# A configuration with one route and these further members.
listing() { # VERSION PUBLIC MORE
	printf '{"version":%s,"routes":[{"name":"book","host":"h.example","path_prefix":"/book/","kind":"non_idempotent","timeout_ms":2000,"target_latency_ms":100,"priority":1,"service":"desk","attempts":1,"public":%s}],"services":[{"name":"desk","max_conns":100}],"limits":{"idle_timeout_ms":15000}%s}' \
		"$1" "$2" "$3"
}

ONE=',"tenants":[{"name":"team","api_keys":["key-one"],"priority":1}]'
EMPTY=',"tenants":[]'
NO_KEYS=',"tenants":[{"name":"team","api_keys":[]}]'
n=0
changes=1 # accepted so far

is_in_force() { # D CHANGES
	grep -q "Configuration in force. version=$2 " "$DIR/entry-$1.log"
}

put() { # VERSION PUBLIC MORE
	wait_for 10 "version $1" put_config "$(listing "$@")" ||
		fail "version $1 is not accepted"
	changes=$((changes + 1))
	for d in 1 2 3; do
		wait_for 5 "version $1 at entry $d" is_in_force $d $changes ||
			fail "version $1 is not in force at entry $d"
	done
}

# What each entry answers to a request with the key, with another, without one.
expect() { # WHEN KNOWN OTHER NONE
	for d in 1 2 3; do
		n=$((n + 1))
		book $d "k$n" "$2" -H "$KEY" >/dev/null ||
			fail "$1: not $2 with the key at entry $d"
		book $d "o$n" "$3" -H 'X-Api-Key: none-such' >/dev/null ||
			fail "$1: not $3 with another key at entry $d"
		book $d "n$n" "$4" >/dev/null ||
			fail "$1: not $4 without a key at entry $d"
	done
}

put 10 false "$ONE"
expect "one key" 200 401 401
put 11 false "$EMPTY"
expect "an empty list" 401 401 401
put 12 true "$EMPTY"
expect "a public route and an empty list" 200 200 200
put 13 false "$EMPTY"
expect "a route that is not public any more" 401 401 401
put 14 false "$NO_KEYS"
expect "a workspace without keys" 401 401 401
put 15 false ""
expect "no list" 200 200 200
put 16 false "$EMPTY"
expect "an empty list after none" 401 401 401

# The same from the disk, and at an entry that has just started.
for d in 1 2 3; do
	kill -KILL "$(pid_of replica_$d)" "$(pid_of entry_$d)"
done
for d in 1 2 3; do
	mv "$DIR/entry-$d.log" "$DIR/entry-$d-before.log"
	start_process replica $d false
	start_process entry $d
done
for d in 1 2 3; do
	wait_for 10 "entry $d" entry_is_ready $d || fail "entry $d is not ready"
	wait_for 5 "version 16 at entry $d" is_in_force $d $changes ||
		fail "version 16 is not in force at entry $d after a restart"
done
wait_endpoints_known d1
expect "an empty list after a restart" 401 401 401
put_config "$(listing 17 false ',"tenants":null')" &&
	fail "tenants that are null are accepted"
put 18 false "$ONE"
expect "one key again" 200 401 401
