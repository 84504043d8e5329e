#!/bin/bash
# A job that fills, whose cpu is more than the other tasks have left unreserved.
CASE=$(cd "$(dirname "$0")" && pwd)
RUNNERS=48
CPU=16000
. "$CASE/../standin-3/common.sh"

# Time from the last submission until jobs are asked for.
FINISH_S=14
# Processors that a task that serves reserves on each runner, of 16000.
SERVES=6000
[ "$TROUBLE" = 0 ] && SERVES=2000

start_cell
for n in 1 2 3; do start_instance $n; done
for n in 1 2 3; do wait_ready $n; done
pause 1
submit 1 00000000000000a1 48 $SERVES 4096 "serve 50 6000 50" ',"estimate_ms":60000,"anti_affinity":1,"long_running":true,"target_ms":100,"image":"shop"'
pause 5
need_starts 00000000000000a1 48
submit 2 00000000000000b2 8 12000 2048 "fill 4000 0 0" ',"estimate_ms":4000,"utilization":true,"image":"report"'
pause $FINISH_S
get_state 3 00000000000000a1
get_state 3 00000000000000b2
judge
