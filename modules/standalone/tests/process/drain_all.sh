# All boxes are stopped as planned and replaced, one after another, under load: no request is cut,
# dropped or doubled, and no key is lost.
SITE_RECORD=1
source "$(dirname "$0")/lib/check.sh"
start "$1"
for box in "${!CALLERS[@]}"; do
    # The balancer does not send to a box that is not ready.
    LOAD_BOXES=$(for other in "${!CALLERS[@]}"; do [ "$other" = "$box" ] || echo "$other"; done)
    load "$SITE_DIR/$box.json" --requests 400 --workers 12 --chats 60 --keyed-service charge --keyed-share 0.3 --keys &
    loader=$!
    sleep 0.5
    kill -TERM "${PIDS[$box]}"
    wait_for 20 bash -c "! kill -0 ${PIDS[$box]} 2>/dev/null" || FAILED=1
    start_router "$box" || FAILED=1
    wait $loader
    check "$box: nothing wrong, cut or refused" equal "$(jq '.wrong + .failed + .refused' "$SITE_DIR/$box.json")" 0
    check "$box: every key has its outcome" equal "$(jq '.keys_unknown' "$SITE_DIR/$box.json")" 0
    check "$box: none ran after not-run" equal "$(ran_after_not_run "$SITE_DIR/$box.json")" 0
    wait_for 20 all_ready
done
check "no key ran twice" equal "$(doubled)" 0
