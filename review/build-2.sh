#!/bin/sh
# Builds the stand-ins of the cases 4 to 8, without a network. Everything lies under target/.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/standin-2/Cargo.toml --target-dir target/review-2
