#!/usr/bin/env bash
# Plays the case and writes record.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x target/cornelmux ] && [ -x target/review-standin ] || { echo "build the deploy file and review/build.sh first"; exit 2; }
target/review-standin leaving "$folder"
