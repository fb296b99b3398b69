#!/bin/sh
# Runs the case from the root of the repository. Exit code: 1 the rule was broken, 0 it held, 2 it could not run.
cd "$(dirname "$0")/../.." || exit 2
exec review/bin/standins slow-discovery review/2/record.txt
