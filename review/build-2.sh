#!/bin/sh
# Builds the stand-in of the second review's scripts, after the build of the
# deploy file: review/standin-2 with the project's HTTP part of the stand-ins.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
cc -std=gnu11 -O2 -D_GNU_SOURCE -Wall -o target/review-2/world \
    -I review/standin-2 -I tests/standin \
    -iquote src/agatebeam -iquote src/workflow \
    review/standin-2/world.c review/standin-2/cases.c \
    tests/standin/http_part.c target/libagb.a \
    $(pkg-config --cflags --libs libuv json-c)

# A finding beside the cases (REPORT-2.md): not started by any script.
cc -std=gnu11 -D_GNU_SOURCE -O1 -g -o target/review-2/retry_after \
    -iquote src/agatebeam -iquote src/workflow \
    -I src/agatebeam/gen -I src/workflow/gen \
    review/standin-2/retry_after.c target/libagb.a target/libagbproto.a \
    $(pkg-config --cflags --libs libtirpc libuv json-c libxxhash libcrypto) -lm ||
    echo "retry_after was not built" >&2
