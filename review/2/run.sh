#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves the disruption out. Exit code: 0 held, 1 broken, 2 not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/persimmonridge ] && [ -x target/review-harness ] || { echo "build first" >&2; exit 2; }
exec target/review-harness endless-garbage target/persimmonridge review/2/record.txt
