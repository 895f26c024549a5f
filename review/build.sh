#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases. They use only the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O --crate-name review_standin -o target/review/standin review/standin/main.rs
