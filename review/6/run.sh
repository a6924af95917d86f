#!/usr/bin/env bash
# All boxes' open connections to the store go silent while new ones work, and a replica drains.
# Exits with 1 if DRAIN was broken, 0 if it held, 2 if the case could not run; TROUBLE=0: nothing
# goes silent. About 20 s. Needs the build of deploy/system.toml and review/build-2.sh.
set -u
cd "$(dirname "$0")/../.."
gateway=target/onyx-gateway
program=target/review-2/review-2-case
[ -x "$gateway" ] && [ -x "$program" ] || exit 2
dir=$(mktemp -d) || exit 2
trap 'rm -rf "$dir"' EXIT
quiet=()
[ "${TROUBLE:-1}" = 0 ] && quiet=(--quiet)
"$program" silent-store --gateway "$gateway" --dir "$dir" --record review/6/record.txt "${quiet[@]}" &
child=$!
trap 'kill "$child" 2>/dev/null' TERM INT
wait "$child"
result=$?
[ "$result" -le 1 ] || result=2
exit "$result"
