#!/bin/sh
# Builds the stand-ins of the review's scripts. They use the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standins review/tests/standins/main.rs
