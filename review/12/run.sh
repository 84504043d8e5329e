#!/bin/bash
# Two routes on which clients have chosen the same id.
CASE=$(cd "$(dirname "$0")" && pwd)
RUNNERS=48
CPU=16000
. "$CASE/../standin-3/common.sh"

FINISH_S=14
FIRST=0000000000004711
SECOND=0000000000004711
[ "$TROUBLE" = 0 ] && SECOND=0000000000004712

start_cell
for n in 1 2 3; do start_instance $n; done
for n in 1 2 3; do wait_ready $n; done
pause 1
PREFIX=/q/
submit 1 $FIRST 4 2000 1024 "batch 3000 0 0" ',"estimate_ms":3000'
pause 1
need_starts $FIRST 4
PREFIX=/cuts/
submit 2 $SECOND 2 1000 1024 "batch 2000 0 0" ',"estimate_ms":2000'
pause $FINISH_S
PREFIX=/q/
get_state 3 $FIRST
PREFIX=/cuts/
get_state 3 $SECOND
case $answer in
*completed*) shown=completed ;;
*) shown=other ;;
esac
if [ $shown = completed ] && ! grep -q "starts $SECOND.*batch 2000" "$RECORD"; then
	note "MIXED: /cuts/$SECOND is shown as completed, and no task of it has started"
fi
judge
