#!/bin/sh
# Runs the failure detector in virtual time with 10, 50, 200 and 990 members.
# usage: member.sh BUILD-DIRECTORY
set -eu
exec "$1/bench-member"
