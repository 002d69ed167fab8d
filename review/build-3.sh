#!/usr/bin/env bash
# Builds what the scripts of the third review start, beside the build of the deploy file: their store, runners and callers.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-lab ./review/lab
