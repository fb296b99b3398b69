#!/bin/bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2. Only the Rust compiler and its standard library are
# needed. The cases themselves start the programs that the build of the deploy file leaves.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/*.rs; do
  name=$(basename "$source" .rs)
  if [ "$name" != common ]; then
    rustc --edition 2021 -O -A warnings -o "target/review-2/$name" "$source"
  fi
done
