#!/bin/sh
# Builds the stand-ins of the second review. The gateway is built by the deploy file's command.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
exec rustc --edition 2021 -O -o target/review-2/stand-2 review/stand-2.rs
