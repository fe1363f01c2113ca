#!/usr/bin/env bash
# Builds the stand-ins that the scripts start: the project's store and the harness, which needs the
# standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --package onyxshed-standins --bin standin-fleet-store
mkdir -p target/review
rustc --edition 2024 -O -o target/review/harness review/harness/main.rs
