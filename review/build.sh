#!/bin/sh
# Builds the stand-ins of the scripts into target/, which the build of the deploy
# file has made. They need only the compiler and the C library.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
cc -O2 -g -std=gnu11 -D_GNU_SOURCE -Wall -Wextra -pthread -o target/standin review/standin/*.c
