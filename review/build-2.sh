#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the second review, with the compiler alone: they use no
# libraries. The daemon itself is built by the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/bed review/tests/standins-2/main.rs
