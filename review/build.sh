#!/usr/bin/env bash
# Builds the stand-ins of the cases. They need nothing but the standard library of Go. The program is replaced
# in one step, so that a run in progress is not disturbed.
set -euo pipefail
cd "$(dirname "$0")/standins"
mkdir -p ../../target
built=$(mktemp ../../target/review-standins.XXXXXX)
trap 'rm -f "$built"' EXIT
GOTOOLCHAIN=local GOPROXY=off GOFLAGS=-mod=mod go build -o "$built" .
mv "$built" ../../target/review-standins
