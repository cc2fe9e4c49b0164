#!/usr/bin/env bash
# Builds what the scripts of this review (review/6 and later) start: the project's program, whose `fake` commands are their
# stores and lists, and the stand-ins of review/standins-2, which need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline || cargo build --release
mkdir -p target/review-2
for source in $(grep -l '^fn main' review/standins-2/*.rs); do
  rustc --edition 2021 -O -o "target/review-2/$(basename "$source" .rs)" "$source"
done
