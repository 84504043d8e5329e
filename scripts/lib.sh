# Functions that start deployments of stand-ins and entry instances on the
# loopback interface, for the scripts in this directory to source. Requires
# $bin, the build directory. All started processes are terminated when the
# script exits. $failed is set to 1 on an error.

dir=$(mktemp -d)
pids=
failed=0

# A process that is stopped handles SIGTERM only after SIGCONT.
cleanup() {
	for p in $pids; do
		kill -CONT "$p" 2>/dev/null || true
		kill -TERM "$p" 2>/dev/null || true
	done
	rm -rf "$dir"
}
trap 'cleanup' EXIT
trap 'exit 1' INT TERM

print_heading() {
	printf '\n== %s\n' "$*"
}

# Starts a program in the background and waits until it prints its address.
# usage: start_program NAME PROGRAM ARGUMENT...; sets $pid
start_program() {
	name=$1
	shift
	"$@" >"$dir/$name.out" 2>"$dir/$name.log" &
	pid=$!
	pids="$pids $pid"
	echo "$pid" >"$dir/$name.pid"
	for _ in $(seq 200); do
		grep -q -e '^listening' -e ' agent ' "$dir/$name.out" && return 0
		sleep 0.05
	done
	echo "$name did not start:"
	cat "$dir/$name.log"
	exit 1
}

# Prints the address from the line "listening http=ADDRESS rpc=ADDRESS" of a
# program.
# usage: address_of NAME KEY
address_of() {
	sed -n "s/^listening.*$2=\([^ ]*\).*/\1/p" "$dir/$1.out"
}

# Starts an entry instance and adds it to the instance list of the platform.
# usage: start_entry PLATFORM REGION DOMAIN NAME; sets $pid
start_entry() {
	cat >"$dir/$4.json" <<SETTINGS
{
	"instance": "$4", "environment": "production",
	"region": "$2", "domain": "$3",
	"http": "127.0.0.1:0", "rpc": "127.0.0.1:0",
	"store": ["$1"], "platform": "$1",
	"drain_ms": 20000, "call_timeout_ms": 15000
}
SETTINGS
	# shellcheck disable=SC2086
	start_program "$4" ${AGB_WRAP:-} "$bin/agatebeamd" --settings "$dir/$4.json"
	curl -sS -o /dev/null -X POST "http://$1/platform/instances" -d "{
	    \"id\": \"$4\", \"kind\": \"entry\", \"region\": \"$2\",
	    \"domain\": \"$3\", \"address\": \"$(address_of "$4" http)\",
	    \"rpc\": \"$(address_of "$4" rpc)\", \"state\": \"live\"}"
}

# usage: wait_ready ADDRESS
wait_ready() {
	for _ in $(seq 200); do
		code=$(curl -s -o /dev/null -w '%{http_code}' \
		    "http://$1/readyz" || true)
		[ "$code" = 200 ] && return 0
		sleep 0.1
	done
	echo "$1 did not become ready"
	failed=1
}

# Waits until a quick request succeeds: shard owners have to be elected and to
# take over their workers first.
# usage: wait_served ADDRESS CREDENTIAL SERVICE
wait_served() {
	for _ in $(seq 100); do
		code=$(curl -s -o /dev/null -w '%{http_code}' -X POST \
		    -H "Authorization: Bearer $2" \
		    -H 'Agatebeam-Idempotent: true' \
		    "http://$1/v1/services/$3/ready?ms=1" || true)
		[ "$code" = 200 ] && return 0
		sleep 0.2
	done
	echo "requests for service $3 do not succeed"
	failed=1
}

# Checks the environment document of a sample, stores it as that of "trial" and
# promotes it to "production".
# usage: load_document SAMPLE STORE
load_document() {
	print_heading "environment document of $1: check, put into trial, promote"
	"$bin/agatectl" env check "samples/$1/environment.json"
	"$bin/agatectl" env put trial "samples/$1/environment.json" \
	    --store "$2"
	version=$("$bin/agatectl" env show trial --store "$2" --json |
	    sed -n 's/.*"version": *\([0-9]*\).*/\1/p' | head -1)
	"$bin/agatectl" env promote trial production --reviewed "$version" \
	    --store "$2"
}

# Starts a deployment: a stand-in for the platform, 17 workers with runners per
# failure domain (51 in three), and $ENTRIES entry instances per domain (default
# 1). Sets $platform, $entries (process ids) and $first_entry (HTTP address).
# usage: start_deployment SAMPLE CPU-MILLI SERVICE REGION:DOMAIN...
start_deployment() {
	sample=$1 cpu=$2 service=$3
	shift 3
	print_heading "deployment $sample: 51 workers, 3 failure domains"
	start_program "$sample-platform" "$bin/standin-platform" \
	    --listen 127.0.0.1:0 --list-lag-ms 500
	platform=$(sed -n 's/^listening //p' "$dir/$sample-platform.out")
	entries=
	for place in "$@"; do
		region=${place%%:*} domain=${place##*:}
		start_program "workers-$domain" "$bin/standin-worker" --count 17 \
		    --platform "$platform" --region "$region" \
		    --domain "$domain" --service "$service" --slots 8 \
		    --connections 64 --cpu-milli "$cpu" --mem-mb 65536 \
		    --name-prefix "$domain"
		for n in $(seq "${ENTRIES:-1}"); do
			[ "$n" = 1 ] && n= || n="-$n"
			start_entry "$platform" "$region" "$domain" \
			    "entry-$domain$n"
			entries="$entries $pid"
		done
	done
	load_document "$sample" "$platform"
	for place in "$@"; do
		wait_ready "$(address_of "entry-${place##*:}" http)"
	done
	first_entry=$(address_of "entry-${1##*:}" http)
}
