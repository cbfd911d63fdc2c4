#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/probe2 ./review/probe2
