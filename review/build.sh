#!/bin/sh
# Builds the stand-ins that the cases' scripts start, without a network, into the repository's target folder.
set -e
cd "$(dirname "$0")/standins"
cargo build --release --locked --offline --target-dir ../../target/review
