#!/bin/bash
# Case 10, see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/rate-limiting-gateway target/review-2/slow_start_list; do
  [ -x "$program" ] || { echo "missing: $program"; exit 2; }
done
exec target/review-2/slow_start_list "review/10"
