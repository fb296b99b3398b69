#!/bin/sh
# Runs the case from the root of the repository. Exit code: 1 the rule was broken, 0 it held, 2 it could not run.
cd "$(dirname "$0")/../.." || exit 2
TMPDIR=$(mktemp -d) || exit 2
REVIEW_PROCESSES=$TMPDIR/processes
export TMPDIR REVIEW_PROCESSES
# Ends the limiters that the stand-ins have not ended themselves.
clean_up() {
    while read -r id; do kill -9 "$id"; done < "$REVIEW_PROCESSES"
    rm -rf "$TMPDIR"
} 2> /dev/null
trap 'kill "$standins"; clean_up; exit 2' HUP INT TERM
review/bin/standins empty-agent review/1/record.txt &
standins=$!
wait "$standins"
code=$?
clean_up
exit "$code"
