#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8. Needs no network after the build of the deploy file.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
cargo build --release --locked --offline --manifest-path "$root/review/standin-2/Cargo.toml" \
    --target-dir "$root/target/review-2"
