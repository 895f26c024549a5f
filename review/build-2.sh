#!/usr/bin/env bash
# Builds the stand-in of the second review's scripts. It needs rustc only, and no network.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standin review/standin-2/main.rs
