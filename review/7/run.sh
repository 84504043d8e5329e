#!/bin/sh
# Case 7: a gang that failed once counts twice over a change of leader.
# Exit 1: the rule was broken; 0: it held; 2: the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/agatebeamd ] && [ -x target/review-2/world ] || exit 2
exec target/review-2/world gang "$here/record.txt"
