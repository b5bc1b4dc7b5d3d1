#!/usr/bin/env bash
# Builds the stand-ins of the cases. They need nothing but the standard library of Go.
set -euo pipefail
cd "$(dirname "$0")/standins"
GOTOOLCHAIN=local GOPROXY=off GOFLAGS=-mod=mod go build -o ../../target/review-standins .
