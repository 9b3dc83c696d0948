#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x target/persimmonridge ] && [ -x target/review-harness-2 ] || exit 2
exec target/review-harness-2 cut-watches "$folder"
