#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases into target/, which is not tracked.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-harness ./review/harness
