#!/usr/bin/env bash
# A replica follows 3 in 100 of its answers with a second one, late, in the place of the next answer due.
# Exits with 1 if TWICE or REFUSED was broken, 0 if both held, 2 if the case could not run; TROUBLE=0:
# no second answers. About 100 s. Needs the build of deploy/system.toml and review/build-2.sh.
set -u
cd "$(dirname "$0")/../.."
gateway=target/onyx-gateway
program=target/review-2/review-2-case
[ -x "$gateway" ] && [ -x "$program" ] || exit 2
dir=$(mktemp -d) || exit 2
trap 'rm -rf "$dir"' EXIT
quiet=()
[ "${TROUBLE:-1}" = 0 ] && quiet=(--quiet)
"$program" surplus --gateway "$gateway" --dir "$dir" --record review/4/record.txt "${quiet[@]}" &
child=$!
trap 'kill "$child" 2>/dev/null' TERM INT
wait "$child"
result=$?
[ "$result" -le 1 ] || result=2
exit "$result"
