#!/bin/sh
# Build a copy of the tree with AddressSanitizer and UBSan and run all tests in
# it.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/asan
tar cf - --exclude='*.o' --exclude='*.d' --exclude='*.a' --exclude='*.so' Makefile .ci src \
	include platform deploy test bench examples $(ls KNOWN-RED.txt 2>/dev/null) |
	tar xf - -C build/asan
find build/asan -type f -perm -100 -name 'test_*' ! -name '*.sh' -delete
find build/asan -type f -perm -100 \( -name 'tool_*' -o -name 'bench_*' \) -delete
cd build/asan
export ASAN_OPTIONS=detect_leaks=1:abort_on_error=1
export UBSAN_OPTIONS=halt_on_error=1:print_stacktrace=1
export DL_SANITIZED=1
make -j8 OPT='-O1 -g -fno-omit-frame-pointer' \
	CFLAGS='-fsanitize=address,undefined' \
	LDFLAGS='-fsanitize=address,undefined' programs >build.log 2>&1 ||
	{ tail -40 build.log; exit 1; }
make OPT='-O1 -g -fno-omit-frame-pointer' \
	CFLAGS='-fsanitize=address,undefined' \
	LDFLAGS='-fsanitize=address,undefined' check
