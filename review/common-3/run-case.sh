#!/bin/sh
# Runs a scenario of review/common-3/case.rs. Usage: run-case.sh SCENARIO RECORD, the path of the record file from the repository's root.
# Exit codes: 0 the rule held, 1 the rule was broken, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/mustardstack target/review-3/case; do
    if [ ! -x "$program" ]; then
        echo "$program is missing: build it with the deploy file's command and review/build-3.sh"
        exit 2
    fi
done
CASE_PIDS=$(mktemp) || exit 2
export CASE_PIDS
target/review-3/case "$1" "$2" &
pid=$!
finish() {
    kill "$pid" 2>/dev/null
    while read -r child; do kill -9 "$child" 2>/dev/null; done <"$CASE_PIDS"
    rm -rf "$CASE_PIDS" "${TMPDIR:-/tmp}/review-3-$pid"
}
trap 'finish; exit 2' INT TERM HUP
wait "$pid"
code=$?
trap - INT TERM HUP
rm -f "$CASE_PIDS"
case "$code" in
0 | 1) exit "$code" ;;
*) exit 2 ;;
esac
