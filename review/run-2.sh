#!/usr/bin/env bash
# Runs one case of the stand-ins: run-2.sh CASE FOLDER. The daemons' settings and logs are in a temporary folder.
set -u
root=$(cd "$(dirname "$0")/.." && pwd)
program=$root/target/review-2/release/review-stand-ins-2
daemon=$root/target/release/scalefordd
for needed in "$program" "$daemon"; do
  if [ ! -x "$needed" ]; then
    echo "not built: $needed"
    exit 2
  fi
done
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
# The time limit ends the daemons as well: they are in the process group of `timeout`.
timeout -s KILL 110 "$program" "$1" "$root" "$2" "$temporary"
result=$?
case $result in
0 | 1) exit $result ;;
*) exit 2 ;;
esac
