#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0 does the same without the disruption. Needs the programs of a release build and of
# review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/gingerpierd ] || { echo "target/release/gingerpierd is not built"; exit 2; }
standin=target/review/release/review-standin
[ -x "$standin" ] || sh review/build.sh || exit 2
exec "$standin" overrun review/3
