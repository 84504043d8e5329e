#!/bin/bash
# Runs the case "cancel" of review/standin/main.c; see claim.txt. Exits with 1 if the
# rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
repo=$(cd "$here/../.." && pwd)
[ -x "$repo/target/agatebeamd" ] && [ -x "$repo/review/bin/world" ] || exit 2
work=$(mktemp -d) || exit 2
"$repo/review/bin/world" cancel "$repo" "$work" "$here/record.txt" &
world=$!
# The stand-in ends the instances that it has started.
trap 'kill -TERM $world 2>/dev/null; wait $world; rm -rf "$work"; exit 2' TERM INT
wait $world
code=$?
rm -rf "$work"
[ $code -le 1 ] || code=2
exit $code
