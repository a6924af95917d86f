# Engines break streams, cross, shorten and repeat answers, fail, freeze and die in the middle: the
# caller gets each token once and in order, or an explicit error.
SITE_ZONES="bio-hall"
SITE_ENGINES_PER_ZONE=3
SITE_ENGINE_ARGS="--batch 16 --step-ms 5"
source "$(dirname "$0")/lib/check.sh"
start "$1"
e=${ENGINES[bio-hall.engine1]}
run() {
    local name=$1
    load "$SITE_DIR/$name.json" --requests "${2:-60}" --workers 6 --chats 20 --tokens 16
    check "$name: no wrong answer" equal "$(jq .wrong "$SITE_DIR/$name.json")" 0
    check "$name: no connection cut" equal "$(jq .failed "$SITE_DIR/$name.json")" 0
    check "$name: most are answered" at_least "$(jq .answered "$SITE_DIR/$name.json")" "${3:-55}"
}
run warm_up 100 100
for after in 0 1 7 15; do
    control "$e" "{\"break_after\": $after, \"break_count\": 3}" >/dev/null
    run "broken_after_$after"
done
control "$e" '{"break_count": 0, "cross_count": 3}' >/dev/null
run crossed
control "$e" '{"short_count": 3}' >/dev/null
run without_end_mark
control "$e" '{"drop_last_count": 3}' >/dev/null
run without_last_token
control "$e" '{"repeat_count": 5}' >/dev/null
run repeated_tokens
control "$e" '{"fail_count": 3}' >/dev/null
run failed
echo "freezing and killing an engine in the middle"
load "$SITE_DIR/kill.json" --requests 80 --workers 8 --chats 30 --tokens 60 &
loader=$!
sleep 0.4
kill -KILL "${ENGINE_PIDS[bio-hall.engine2]}"
wait $loader
check "killed: no wrong answer" equal "$(jq .wrong "$SITE_DIR/kill.json")" 0
check "killed: no connection cut" equal "$(jq .failed "$SITE_DIR/kill.json")" 0
control "$e" '{"freeze": true}' >/dev/null
run frozen 20 10
tries() { local b t=0; for b in "${!METRICS[@]}"; do t=$((t + $(metric "$b" "$1"))); done; echo $t; }
