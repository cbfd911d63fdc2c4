#!/usr/bin/env bash
# Builds the stand-ins of the scripts in this folder, beside the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/ ./review/...
