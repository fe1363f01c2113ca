#!/bin/sh
# Builds what the scripts of the second review start: the hosts, with the command of the deploy file,
# and the harness with its stand-ins, which needs nothing but the standard library.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --package onyxshed-host
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/harness review/tools-2/harness.rs
