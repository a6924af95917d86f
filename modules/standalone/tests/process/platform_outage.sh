# The platform is down for several leases: chats go on, keys go on under the members' promises, and
# a box that starts in the outage learns the configuration from its peers.
SITE_ZONES="bio-hall"
SITE_BOXES_PER_ZONE=3
SITE_RECORD=1
source "$(dirname "$0")/lib/check.sh"
start "$1"
echo "platform down for more than three leases"
control "$PLATFORM" '{"outage": true}' >/dev/null
sleep 7
load "$SITE_DIR/out.json" --requests 120 --workers 6 --keyed-service charge --keyed-share 0.5 --keys
check "all chats are answered whole" equal "$(jq '.wrong + .refused + .failed' "$SITE_DIR/out.json")" 0
check "keys run on promises" equal "$(jq '.keys_unknown + .keys_not_run' "$SITE_DIR/out.json")" 0
check "no key ran twice" equal "$(doubled)" 0

echo "a box is replaced in the outage"
kill -KILL "${PIDS[bio-hall-3]}" "${AGENT_PIDS[bio-hall-3]}"
# It holds its ports until it has ended.
wait_for 5 bash -c "! kill -0 ${PIDS[bio-hall-3]} 2>/dev/null"
SITE_ROUTER_SETTINGS="${SITE_ROUTER_SETTINGS/\[peers\]/[peers]
seeds = [\"${PEERS[bio-hall-1]}\"]}"
start_router bio-hall-3
check "it is ready with the revision in force" wait_for 10 curl -sf "http://${METRICS[bio-hall-3]}/readyz"
check "a member is missing, so keys are unknown and not run" equal \
    "$(sleep 3; charge bio-hall-1 "$(uuid7)" | grep -c '503 unknown')" 1
epoch=$(metric bio-hall-1 onyx_roster_epoch)
control "$PLATFORM" '{"outage": false}' >/dev/null
start_agent bio-hall-3
wait_for 25 epoch_above bio-hall-1 "$epoch"
wait_for 15 keys_ready
sleep 0.8
check "after the outage keys run again" equal "$(charge bio-hall-3 "$(uuid7)" | grep -c '200 ran')" 1
check "no key ran twice in all" equal "$(doubled)" 0

echo "a renewal takes effect and its answer is lost"
control "$PLATFORM" '{"lose_answers": 4}' >/dev/null
sleep 3
check "the leases stand" wait_for 5 keys_ready
check "keys run" equal "$(charge bio-hall-1 "$(uuid7)" | grep -c '200 ran')" 1
