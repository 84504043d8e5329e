# Helpers of the run.sh of the cases 11 to 15, which source this file. It starts
# the stand-in and the instances as the deploy file does, and ends them.
#
# Set before: CASE (folder of the case), RUNNERS, CPU (thousandths of a core of
# a runner).

ROOT=$(cd "$CASE/../.." && pwd)
BIN=$ROOT/review/standin-3/bin
RECORD=$CASE/record.txt
TROUBLE=${TROUBLE:-1}
HOST=jobs.example
PREFIX=/q/
# Tasks of all steps of the next job, if it has several.
TOTAL=
WORK=$(mktemp -d)
PIDS=
SLEEPS=

# The case could not run.
cannot() {
	echo "cannot run: $*"
	exit 2
}

end_all() {
	for pid in $PIDS $SLEEPS; do
		kill -CONT "$pid" 2>/dev/null
		kill -KILL "$pid" 2>/dev/null
	done
	rm -rf "$WORK"
}
trap end_all EXIT
trap 'exit 2' INT TERM

# pause SECONDS: a sleep that a signal ends.
pause() {
	sleep "$1" &
	SLEEPS=$!
	wait "$SLEEPS"
	SLEEPS=
}

# call METHOD ADDR PATH [BODY]: prints the status and the body.
call() {
	"$BIN/call" "$2" "$1" "$3" "$HOST" "${4:-}"
}

note() {
	call POST "$STORE" /test/note "{\"text\":\"$1\"}" >/dev/null
}

start_cell() {
	[ -x "$BIN/cell" ] || cannot "review/build-3.sh has not run"
	[ -x "$ROOT/target/agatebeamd" ] || cannot "the deploy file's build has not run"
	"$BIN/cell" "$RUNNERS" "$CPU" "$RECORD" >"$WORK/cell.out" &
	PIDS="$PIDS $!"
	disown $!
	for _ in 1 2 3 4 5 6 7 8 9 10; do
		pause 0.1
		STORE=$(cat "$WORK/cell.out")
		[ -n "$STORE" ] && return
	done
	cannot "the stand-in does not start"
}

# start_instance N: instance N with settings like those of a small deployment.
# Its client address is in FRONT_N, its process id in PID_N.
start_instance() {
	set -- "$1" $("$BIN/call" ports 4)
	cat >"$WORK/settings-$1.json" <<SETTINGS
{
	"instance": "frontend-pier-$1",
	"domain": "pier",
	"region": "harbour",
	"http": "127.0.0.1:$2",
	"ready": "127.0.0.1:$3",
	"rpc": "127.0.0.1:$4",
	"metrics": "127.0.0.1:$5",
	"store": "$STORE",
	"grace_s": 6,
	"status_s": 120,
	"runner_lease_max_ms": 10000,
	"remote_factor": 1.5,
	"cpu_share": 0.25,
	"link_mbps": 1000.0,
	"memory_mb": 260,
	"log_level": "info"
}
SETTINGS
	(cd "$ROOT" && AGATEBEAM_BOOT="$WORK/settings-$1.json" exec target/agatebeamd --platform >"$WORK/log-$1" 2>&1) &
	last=$!
	disown "$last"
	PIDS="$PIDS $last"
	eval "PID_$1=$last FRONT_$1=127.0.0.1:$2 READY_$1=127.0.0.1:$3"
}

# wait_ready N: until instance N is ready.
wait_ready() {
	eval "addr=\$READY_$1"
	for _ in $(seq 100); do
		case $(call GET "$addr" /readyz 2>/dev/null) in
		200*) return ;;
		esac
		pause 0.1
	done
	cannot "instance $1 does not become ready"
}

# submit N ID COUNT CPU MEM SPEC [FIELDS]: a job of one step, through instance N.
# FIELDS are further fields of the step, which begin with a comma. PREFIX is that
# of the route, JOB_FIELDS are fields of the job, which begin with a comma, and
# LABEL, if set, is the label of the step that the rule is checked for.
submit() {
	eval "addr=\$FRONT_$1"
	lasting=false fill=false
	case ${7:-} in *long_running*) lasting=true ;; esac
	case ${7:-} in *utilization*) fill=true ;; esac
	label=${LABEL-$(echo "${7:-}" | sed -n 's/.*"constraints":"\([^"]*\)".*/\1/p')}
	# The stand-in watches the job from now on; it counts once it is accepted.
	call POST "$STORE" /test/job "{\"job\":\"$2\",\"count\":$3,\"cpu\":$4,\"mem_mb\":$5,\"lasting\":$lasting,\"fill\":$fill,\"label\":\"$label\",\"spec\":\"$6 cpu $4 mem $5\",\"total\":${TOTAL:-$3}}" >/dev/null
	body="{\"spec\":\"$6 cpu $4 mem $5\"${JOB_FIELDS:-},\"phases\":[{\"count\":$3,\"cpu\":$4,\"mem_mb\":$5${7:-}}]}"
	answer=$(call POST "$addr" "$PREFIX$2" "$body")
	note "client: POST $PREFIX$2 -> ${answer%% *}"
	case $answer in
	200*) ;;
	*) cannot "job $2 is not accepted: $answer" ;;
	esac
}

# get_state N ID: asks instance N for the state of a job.
get_state() {
	eval "addr=\$FRONT_$1"
	answer=$(call GET "$addr" "$PREFIX$2")
	note "client: GET $PREFIX$2 -> $(echo "$answer" | tr -d '"')"
}

# need_starts ID N: the case could not run if fewer tasks of a job have started.
need_starts() {
	[ "$(grep -c " starts $1" "$RECORD")" -ge "$2" ] ||
		cannot "fewer than $2 tasks of job $1 have started"
}

# judge: exits with 1 if the rule LOST is broken now, and with 0 if it holds.
judge() {
	answer=$(call POST "$STORE" /test/finish "{}")
	echo "$answer"
	grep 'LOST\|MIXED' "$RECORD"
	case $answer in
	*'"broken":0'*) exit 0 ;;
	*'"broken":'*) exit 1 ;;
	esac
	cannot "there is no verdict"
}
