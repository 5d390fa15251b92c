#!/bin/sh
# Builds the stand-ins and clients that the scripts of the second review start. They use the standard library alone.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/rig-2/Cargo.toml --target-dir target/review-2
