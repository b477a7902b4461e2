#!/bin/sh
# Builds the stand-ins of the scripts; needs no network and no package.
cd "$(dirname "$0")/.." || exit 2
exec cargo build --release --offline --manifest-path review/standin/Cargo.toml --target-dir target/review
