#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 6, which use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/stand-ins-2/Cargo.toml --target-dir target/review-2
