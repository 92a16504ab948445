#!/usr/bin/env bash
# Builds the stand-ins of the cases' scripts with the compiler alone; they use only the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for name in broken_answer broken_stream lost_on_stop; do
  rustc --edition 2024 -O -o "target/review/$name" "review/src/$name.rs"
done
