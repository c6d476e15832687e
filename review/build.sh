#!/bin/sh
# Build the stand-ins that the scripts of the review start, in target/review/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
cc -std=gnu11 -O2 -g -Wall -Wextra -Wno-unused-parameter -pthread \
	-o target/review/standin review/standin.c
