#!/usr/bin/env bash
# Builds the programs of the review's cases into target/review/ with the compiler of the Rust toolchain alone. The stand-ins
# (the platform's list, workers, operator, clients) are part of them.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O --crate-type rlib --crate-name common -o target/review/libcommon.rlib review/common/lib.rs
for source in review/[1-4]/main.rs; do
    case=$(basename "$(dirname "$source")")
    rustc --edition 2024 -O --crate-name "case$case" --extern common=target/review/libcommon.rlib \
        -o "target/review/case-$case" "$source"
done
