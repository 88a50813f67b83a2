#!/bin/sh
# Builds every stand-in that the cases start: one small crate without dependencies.
set -e
cd "$(dirname "$0")/standin"
exec cargo build --release --locked --offline
