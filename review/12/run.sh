#!/bin/bash
# A manifest in which the route of accepted jobs has another name.
CASE=$(cd "$(dirname "$0")" && pwd)
RUNNERS=48
CPU=16000
. "$CASE/../standin-3/common.sh"

FINISH_S=14
NAME=cell-orders
[ "$TROUBLE" = 0 ] && NAME=cell-queue

start_cell
for n in 1 2 3; do start_instance $n; done
for n in 1 2 3; do wait_ready $n; done
sleep 1
TOTAL=8
submit 1 00000000000000a1 4 1000 1024 "batch 3000 0 0" ',"estimate_ms":3000},{"count":4,"cpu":1000,"mem_mb":1024,"estimate_ms":3000,"after":[0]'
sleep 1
call POST "$STORE" /test/manifest "{\"version\":7,\"name\":\"$NAME\"}" >/dev/null
sleep $FINISH_S
get_state 3 00000000000000a1
judge
