#!/usr/bin/env bash
# Runs every measurement that docs/CAPACITY.md cites, one after the other, and writes the tables to a folder.
#
#   scripts/capacity.sh [FOLDER]
#
# The measurements take about 10 minutes on an idle machine with 10 cores, after the build. FOLDER is target/capacity by
# default. The script deletes the folder of the clusters of an earlier run in FOLDER.
set -euo pipefail
cd "$(dirname "$0")/.."

folder=${1:-target/capacity}
mkdir -p "$folder"
cargo build --release -p mustardstack
cargo build --release -p reducer -p wire -p fleet -p quorum -p route --examples

measure() {
    local package=$1 example=$2
    shift 2
    echo "== $example"
    cargo run --quiet --release -p "$package" --example "$example" -- "$@" | tee "$folder/$example.txt"
}

measure reducer event_time
measure reducer memory
measure wire encoded_bytes
measure wire control_state
measure quorum commit_rate
measure route decision_time

# A cluster would recover its configuration from the data folder of an earlier run.
rm -rf "$folder/clusters"
measure fleet processes target/release/mustardstack "$folder/clusters"
