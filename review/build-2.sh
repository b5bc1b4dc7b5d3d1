#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8 into target/review-2. They need nothing but Go's standard library.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
mkdir -p ../../target/review-2
GOFLAGS= GOTOOLCHAIN=local GOWORK=off go build -o ../../target/review-2/case .
