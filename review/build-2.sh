#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start. They use no libraries.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
