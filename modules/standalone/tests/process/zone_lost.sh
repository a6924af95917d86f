# A whole availability zone falls silent: the others go on serving, keys that are at home there are
# unknown at once and none runs twice; then it wakes, and joins in again.
source "$(dirname "$0")/lib/check.sh"
start "$1"
lost=ovd-hall
pids=()
for n in 1 2; do pids+=("${PIDS[$lost-$n]}" "${AGENT_PIDS[$lost-$n]}"); done
for name in "${!ENGINES[@]}"; do [[ $name == $lost.* ]] && pids+=("${ENGINE_PIDS[$name]}"); done
LOAD_BOXES="bio-hall-1 bio-hall-2 sdr-hall-1 sdr-hall-2"
load "$SITE_DIR/before.json" --requests 200 --workers 8 --chats 40
kill -STOP "${pids[@]}"
load "$SITE_DIR/during.json" --requests 300 --workers 8 --chats 40 --deadline-ms 8000
check "chats: none wrong" equal "$(jq .wrong "$SITE_DIR/during.json")" 0
check "chats: none cut" equal "$(jq .failed "$SITE_DIR/during.json")" 0
check "chats: nearly all answered" at_least "$(jq .answered "$SITE_DIR/during.json")" 285
load "$SITE_DIR/after.json" --requests 200 --workers 8 --chats 40
check "once it is known: all answered" equal "$(jq .answered "$SITE_DIR/after.json")" 200
for _ in $(seq 1 30); do
    key=$(uuid7)
    echo "$key" >>"$SITE_DIR/keys"
    charge bio-hall-1 "$key" >>"$SITE_DIR/outcomes"
done
check "keys at home elsewhere run" at_least "$(grep -c '200 ran' "$SITE_DIR/outcomes")" 8
check "keys at home there are unknown" at_least "$(grep -c '503 unknown' "$SITE_DIR/outcomes")" 2
check "no key is said to be not-run" equal "$(grep -c 'not-run' "$SITE_DIR/outcomes")" 0
kill -CONT "${pids[@]}"
wait_for 20 all_ready
wait_for 20 keys_ready
sleep 1
while read -r key; do charge sdr-hall-1 "$key" >>"$SITE_DIR/again"; done <"$SITE_DIR/keys"
check "no key ran twice" equal "$(doubled)" 0
load "$SITE_DIR/back.json" --requests 100 --workers 8 --chats 40 --keyed-service charge --keyed-share 0.5 --keys
check "the zone serves again" equal "$(jq '.wrong + .failed + .refused + .keys_unknown' "$SITE_DIR/back.json")" 0
