#!/usr/bin/env bash
# Runs the case; see claim.txt.
cd "$(dirname "$0")/../.."
exec target/review/harness manifest review/3
