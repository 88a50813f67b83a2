#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
here=$PWD
ROOT=$(cd ../.. && pwd) || exit 2
RUN=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' "$ROOT/deploy/balancer.toml")
export ROOT RUN
case=$ROOT/review/standin/target/release/case3
[ -x "$case" ] && [ -n "$RUN" ] || { echo "run the deploy file's build and review/build.sh first"; exit 2; }
exec timeout -k 2 115 "$case" "$here/record.txt"
