#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without
# the disruption. Writes what was sent, answered and run to record.txt in this folder. Needs the build
# of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
for program in target/onyx-gateway target/review/StalePages; do
    [ -x "$program" ] || { echo "not built: $program" >&2; exit 2; }
done
timeout -k 2 115 target/review/StalePages review/3/record.txt
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
