#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0: no disruption.
set -uo pipefail
cd "$(dirname "$0")/../.."
for program in target/release/scalefordd target/review/broken_stream; do
  [ -x "$program" ] || { echo "$program is not built"; exit 2; }
done
timeout --kill-after=5 100 "target/review/broken_stream" 
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
