#!/usr/bin/env bash
# Plays the case; see claim.txt. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")" || exit 2
program=../../target/review-2/case
[ -x "$program" ] && [ -x ../../target/frostdock ] || { echo "build first: deploy/service.toml, review/build-2.sh"; exit 2; }
ROOT=$(cd ../.. && pwd) RECORD=$PWD/record.txt exec "$program" gaps
