#!/bin/sh
# Fuzzes the two message readers of the HTTP adapter, 5 s if not told otherwise.
# usage: fuzz-http.sh BUILD-DIRECTORY [SECONDS]
set -eu
o=$1
seconds=${2:-5}
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
mkdir -p "$o"
# shellcheck disable=SC2046
clang -std=gnu11 -O1 -g -D_GNU_SOURCE -Isrc/internal -Isrc \
	-fsanitize=fuzzer,address,undefined -fno-sanitize-recover=all \
	$(pkg-config --cflags glib-2.0) -o "$o/fuzz-http" tests/fuzz/http.c \
	src/adapter/http/*.c src/adapter/io/*.c src/core/error.c src/core/byte_limit.c \
	$(pkg-config --libs glib-2.0) -lhttp_parser
"$o/fuzz-http" -seed=1 -max_total_time="$seconds" -max_len=4096 -timeout=10 \
	-artifact_prefix="$o/" -print_final_stats=1 "$dir" tests/fuzz/http
