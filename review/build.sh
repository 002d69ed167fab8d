#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/, after the build of the deploy file. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-standin ./review/standin
