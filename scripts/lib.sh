# Functions that start deployments of stand-ins and entry instances on the
# loopback interface; read by the scripts beside it. Needs $bin, the build
# directory. Everything that was started ends with the script.

dir=$(mktemp -d)
pids=
failed=0

cleanup() {
	for p in $pids; do
		kill -CONT "$p" 2>/dev/null || true
		kill -TERM "$p" 2>/dev/null || true
	done
	rm -rf "$dir"
}
trap 'cleanup' EXIT
trap 'exit 1' INT TERM

say() {
	printf '\n== %s\n' "$*"
}

# Starts a program and waits for the line that tells its address.
# usage: start NAME PROGRAM ARGUMENT...; sets $pid
start() {
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
	echo "demo: $name did not start:"
	cat "$dir/$name.log"
	exit 1
}

# Address behind a key of the line "listening http=ADDRESS rpc=ADDRESS".
address() {
	sed -n "s/^listening.*$2=\([^ ]*\).*/\1/p" "$dir/$1.out"
}

# usage: entry PLATFORM REGION DOMAIN NAME; sets $pid
entry() {
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
	start "$4" ${AGB_WRAP:-} "$bin/agatebeamd" --settings "$dir/$4.json"
	curl -sS -o /dev/null -X POST "http://$1/platform/instances" -d "{
	    \"id\": \"$4\", \"kind\": \"entry\", \"region\": \"$2\",
	    \"domain\": \"$3\", \"address\": \"$(address "$4" http)\",
	    \"rpc\": \"$(address "$4" rpc)\", \"state\": \"live\"}"
}

wait_ready() {
	for _ in $(seq 200); do
		code=$(curl -s -o /dev/null -w '%{http_code}' \
		    "http://$1/readyz" || true)
		[ "$code" = 200 ] && return 0
		sleep 0.1
	done
	echo "demo: $1 did not become ready"
	failed=1
}

# Waits until a quick request is served: the owners need a moment to be
# elected and to take over their workers.
wait_served() {
	for _ in $(seq 100); do
		code=$(curl -s -o /dev/null -w '%{http_code}' -X POST \
		    -H "Authorization: Bearer $2" \
		    -H 'Agatebeam-Idempotent: true' \
		    "http://$1/v1/services/$3/ready?ms=1" || true)
		[ "$code" = 200 ] && return 0
		sleep 0.2
	done
	echo "demo: $3 is not served"
	failed=1
}

# usage: load_document SAMPLE STORE
load_document() {
	say "environment document of $1: check, put into trial, promote"
	"$bin/agatectl" env check "samples/$1/environment.json"
	"$bin/agatectl" env put trial "samples/$1/environment.json" \
	    --store "$2"
	version=$("$bin/agatectl" env show trial --store "$2" --json |
	    sed -n 's/.*"version": *\([0-9]*\).*/\1/p' | head -1)
	"$bin/agatectl" env promote trial production --reviewed "$version" \
	    --store "$2"
}

# Starts one deployment: its platform, 51 workers in three failure domains
# with their runners, and $ENTRIES entry instances in each domain (default 1).
# usage: deployment SAMPLE CPU-MILLI SERVICE REGION:DOMAIN...
deployment() {
	sample=$1 cpu=$2 service=$3
	shift 3
	say "deployment $sample: 51 workers, 3 failure domains"
	start "$sample-platform" "$bin/standin-platform" \
	    --listen 127.0.0.1:0 --list-lag-ms 500
	platform=$(sed -n 's/^listening //p' "$dir/$sample-platform.out")
	entries=
	for place in "$@"; do
		region=${place%%:*} domain=${place##*:}
		start "workers-$domain" "$bin/standin-worker" --count 17 \
		    --platform "$platform" --region "$region" \
		    --domain "$domain" --service "$service" --slots 8 \
		    --connections 64 --cpu-milli "$cpu" --mem-mb 65536 \
		    --name-prefix "$domain"
		for n in $(seq "${ENTRIES:-1}"); do
			[ "$n" = 1 ] && n= || n="-$n"
			entry "$platform" "$region" "$domain" \
			    "entry-$domain$n"
			entries="$entries $pid"
		done
	done
	load_document "$sample" "$platform"
	for place in "$@"; do
		wait_ready "$(address "entry-${place##*:}" http)"
	done
	first=$(address "entry-${1##*:}" http)
}
