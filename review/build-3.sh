#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 into review/standin-3/bin. It needs
# the packages of deploy/system.toml only.
set -e
cd "$(dirname "$0")/.."
out=review/standin-3/bin
mkdir -p "$out"
libs=$(pkg-config --cflags --libs libuv json-c libcrypto)
# shellcheck disable=SC2086
cc -std=gnu11 -O2 -g -Wall -D_GNU_SOURCE \
    -iquote src/agatebeam -iquote platform -iquote tests/standin \
    review/standin-3/cell.c tests/standin/http_part.c platform/json.c \
    src/agatebeam/b64.c src/agatebeam/mem.c -o "$out/cell" $libs -lm
cc -std=gnu11 -O2 -g -Wall -D_GNU_SOURCE \
    review/standin-3/call.c -o "$out/call"
