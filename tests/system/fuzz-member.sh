#!/bin/sh
# Fuzzes the decoders of datagrams, of JSON and of what the store holds, FUZZ_SECONDS each, 5 s if not set.
# usage: fuzz-member.sh BUILD-DIRECTORY
set -eu
seconds=${FUZZ_SECONDS:-5}
o=$1/fuzz
env -u MAKEFLAGS -u MAKELEVEL make -s -j4 CC=clang O="$o" \
	SAN="-fsanitize=fuzzer-no-link,address,undefined -fno-sanitize-recover=all" \
	"$o/fuzz-datagram" "$o/fuzz-json" "$o/fuzz-store"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
for name in datagram json store; do
	mkdir "$work/$name"
	"$o/fuzz-$name" -max_total_time="$seconds" -max_len=2000 -timeout=5 \
		-artifact_prefix="$work/" -print_final_stats=1 \
		"$work/$name" "tests/fuzz/seeds/$name"
done
