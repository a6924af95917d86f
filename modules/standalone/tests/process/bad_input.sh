# What callers may get wrong: each answer names the field, says what became of the request, and the
# box goes on serving.
SITE_ZONES="bio-hall"
SITE_BOXES_PER_ZONE=1
SITE_ENGINES_PER_ZONE=1
source "$(dirname "$0")/lib/check.sh"
start "$1"
url=http://${CALLERS[bio-hall-1]}
auth='Authorization: Bearer token-norte'
# ask EXPECTED-STATUS EXPECTED-TEXT CURL-ARGS...: status, and a text in the answer.
ask() {
    local status=$1 text=$2 answer
    shift 2
    answer=$(curl -sS -m 10 -i "$@" 2>&1 | tr -d '\r')
    grep -q "^HTTP/1.1 $status" <<<"$answer" && grep -q "$text" <<<"$answer" || { head -c 600 <<<"$answer"; return 1; }
}
check "no token" ask 401 "Authorization: expected a bearer token" "$url/v1/chat/completions" -d '{}'
check "unknown token" ask 401 "no team has this token" "$url/v1/chat/completions" -H 'Authorization: Bearer x' -d '{}'
check "malformed JSON" ask 400 "body: expected a JSON object" "$url/v1/chat/completions" -H "$auth" -d '{"model":'
check "no messages" ask 400 "messages: expected a list" "$url/v1/chat/completions" -H "$auth" -d '{"model":"desk-model"}'
check "unknown model" ask 404 "no such model: x" "$url/v1/chat/completions" -H "$auth" -d '{"model":"x","messages":[{}]}'
check "unknown service" ask 404 "no such service: nothing" "$url/v1/services/nothing/x" -H "$auth" -d x
check "unknown path" ask 404 "path: expected" "$url/v2" -H "$auth"
check "wrong method" ask 405 "method: expected POST" "$url/v1/chat/completions" -H "$auth"
check "bad deadline" ask 400 "Onyx-Deadline-Ms" "$url/v1/services/lookup/x" -H "$auth" -H 'Onyx-Deadline-Ms: soon' -d x
check "bad priority" ask 400 "Onyx-Priority" "$url/v1/services/lookup/x" -H "$auth" -H 'Onyx-Priority: now' -d x
check "no key" ask 400 "Idempotency-Key" "$url/v1/services/charge/x" -H "$auth" -d x
check "key of another version" ask 400 "UUID of version 7" "$url/v1/services/charge/x" -H "$auth" -H 'Idempotency-Key: 0192d3a0-1234-4abc-8def-0123456789ab' -d x
check "old key is unknown" ask 409 "Onyx-Outcome: unknown" "$url/v1/services/charge/x" -H "$auth" -H 'Idempotency-Key: 0192d3a0-1234-7abc-8def-0123456789ab' -d x
check "future key is unknown" ask 400 "key-in-future" "$url/v1/services/charge/x" -H "$auth" -H 'Idempotency-Key: f192d3a0-1234-7abc-8def-0123456789ab' -d x
key=$(uuid7)
check "a key runs" equal "$(charge bio-hall-1 "$key" body)" "200 ran no"
check "its repeat is answered from the ledger" equal "$(charge bio-hall-1 "$key" body)" "200 ran yes"
check "another body under it" ask 422 "Onyx-Outcome: unknown" "$url/v1/services/charge/fee" -H "$auth" -H "Idempotency-Key: $key" -d other
check "a filter's refusal of a key that ran is unknown" ask 400 "Onyx-Outcome: unknown" "$url/v1/services/charge/fee" -H "$auth" -H "Idempotency-Key: $key" -H 'Onyx-Priority: now' -d body
check "it ran once" equal "$(executions "$key")" 1
head -c 5000000 /dev/zero | tr '\0' 'x' >"$SITE_DIR/large"
check "body too large" ask 413 "could not be read" "$url/v1/services/lookup/x" -H "$auth" -H 'Expect:' --data-binary "@$SITE_DIR/large"
check "header too large" ask 413 "could not be read" "$url/v1/services/lookup/x" -H "$auth" -H "X-Large: $(head -c 20000 "$SITE_DIR/large")" -d x
ctl team put norte --token token-norte --max-in-flight 1 >/dev/null
sleep 0.5
control "${ENGINES[bio-hall.charge]}" '{"delay_ms": 1000}' >/dev/null
charge bio-hall-1 "$(uuid7)" >/dev/null &
sleep 0.3
check "a team at its limit: unknown for a key, with when to come back" ask 429 "Onyx-Outcome: unknown" "$url/v1/services/charge/x" -H "$auth" -H "Idempotency-Key: $(uuid7)" -d x
check "and not-run for a repeatable request" ask 429 "Onyx-Outcome: not-run" "$url/v1/services/lookup/x" -H "$auth" -d x
wait
control "${ENGINES[bio-hall.charge]}" '{"delay_ms": 0}' >/dev/null
exec 9<>"/dev/tcp/${CALLERS[bio-hall-1]/://}"
printf '\xff\xff\xff\x7fgarbage' >&9
exec 9<>"/dev/tcp/${PEERS[bio-hall-1]/://}"
printf '\xff\xff\xff\x7fgarbage' >&9
check "garbage on either port costs nothing" equal "$(charge bio-hall-1 "$(uuid7)")" "200 ran no"
exec 9>&-
