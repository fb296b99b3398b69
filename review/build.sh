#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. Needs only the Rust compiler; no network.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
rustc --edition 2021 -O -o bin/standins standins/main.rs
