#!/usr/bin/env bash
# Builds the stand-ins and scenarios of the cases 11 to 15. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
rustc --edition 2024 -O -o target/review-3 review/stand-3.rs
