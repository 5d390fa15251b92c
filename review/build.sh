#!/bin/sh
# Builds the stand-ins that the scripts of the cases start; they use nothing but the standard library.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/rig/Cargo.toml --target-dir target/review
