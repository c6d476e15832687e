#!/bin/sh
# Build the daisyledge binary in target/, for the machines of a deployment.
set -eu
cd "$(dirname "$0")/.."
pkgs="libuv msgpack jansson glib-2.0 libxxhash libcrypto zlib"
flags="-std=gnu11 -O2 -g -D_GNU_SOURCE -DH2O_USE_LIBUV=1 -Iinclude -Isrc -I.
$(pkg-config --cflags $pkgs)"
mkdir -p target/obj
# shellcheck disable=SC2016
ls src/*/*.c platform/*.c | xargs -P "$(nproc)" -n 1 sh -c '
	flags=$1 src=$2
	cc $flags -c -o "target/obj/$(echo "$src" | tr / _).o" "$src"' sh "$flags"
cc -o target/daisyledge target/obj/*.o \
	-lh2o -lhttp_parser -lssl -llog4c $(pkg-config --libs $pkgs) -lm
