# One engine fails half of its requests: total tries stay within 1.1 times the requests, and a
# refusal comes with when to come back.
SITE_ZONES="bio-hall"
SITE_BOXES_PER_ZONE=1
SITE_ENGINES_PER_ZONE=2
source "$(dirname "$0")/lib/check.sh"
start "$1"
for n in 1 2; do control "${ENGINES[bio-hall.engine$n]}" '{"fail_share": 0.5}' >/dev/null; done
load "$SITE_DIR/out.json" --requests 400 --workers 4 --tokens 4
tries=$(for n in 1 2; do control "${ENGINES[bio-hall.engine$n]}" ''; done | jq -s 'map(.requests) | add')
check "at most 1.1 tries a request" at_most "$tries" 440
check "retries were made" at_least "$tries" 420
check "no wrong answer" equal "$(jq .wrong "$SITE_DIR/out.json")" 0
check "every request has its answer" equal "$(jq '.answered + .refused' "$SITE_DIR/out.json")" 400
problem=$(for _ in 1 2 3 4 5 6 7 8 9 10 11 12; do
    curl -sS -D - -o /dev/null "http://${CALLERS[bio-hall-1]}/v1/chat/completions" \
        -H 'Authorization: Bearer token-norte' \
        -d '{"model":"desk-model","messages":[{"role":"user","content":"x"}],"max_tokens":2}'
done | tr -d '\r' | grep -A4 '^HTTP/1.1 502')
check "a refusal says unknown" grep -q 'Onyx-Outcome: unknown' <<<"$problem"
check "and when to come back" grep -q 'Retry-After: ' <<<"$problem"
