#!/bin/sh
# Builds the stand-ins of the review's scripts. To be run after the build of the
# deploy file; it uses the project's libraries from target/ and its HTTP server
# for stand-ins, and needs the packages of the deploy file only.
set -e
cd "$(dirname "$0")/.."
out=review/bin
mkdir -p "$out"
${CC:-cc} -std=gnu11 -O2 -g -Wall -Wextra -Wno-unused-parameter -D_GNU_SOURCE \
	-DH2O_USE_LIBUV=1 \
	-iquote src/agatebeam -iquote src/workflow -iquote src/agatebeam/gen \
	-iquote src/workflow/gen -iquote platform -iquote tests/standin \
	-Isrc/agatebeam/gen \
	$(pkg-config --cflags libuv libh2o libtirpc json-c libxxhash) \
	review/standin/*.c tests/standin/http_part.c \
	target/libagbplatform.a target/libagb.a target/libagbproto.a \
	$(pkg-config --libs libuv libh2o libtirpc json-c libxxhash libcrypto libssl) \
	-lm -o "$out/world"
echo "built $out/world"
