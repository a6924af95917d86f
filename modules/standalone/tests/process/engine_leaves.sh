# An engine starts to leave, by each of the four signs in turn: after two seconds it gets no new
# work, though the other signs still say live.
SITE_ZONES="bio-hall"
SITE_ENGINES_PER_ZONE=4
source "$(dirname "$0")/lib/check.sh"
start "$1"
requests() { control "${ENGINES[$1]}" '' | jq .requests; }
try_sign() {
    local name=$1 engine=$2
    sleep 2
    local before
    before=$(requests "$engine")
    load "$SITE_DIR/$name.json" --requests 120 --workers 6 --chats 40 --tokens 4
    check "$name: nothing new" equal "$(requests "$engine")" "$before"
    check "$name: all answered" equal "$(jq '.wrong + .refused + .failed' "$SITE_DIR/$name.json")" 0
}
load "$SITE_DIR/warm.json" --requests 150 --workers 6 --chats 40 --tokens 4
for n in 1 2 3 4; do check "engine$n works at first" at_least "$(requests "bio-hall.engine$n")" 1; done
ctl engine put bio-hall.engine1 --service desk-model --zone bio-hall --address "${ENGINES[bio-hall.engine1]}" --leaving >/dev/null
try_sign configuration bio-hall.engine1
control "${ENGINES[bio-hall.engine2]}" '{"leaving": true}' >/dev/null
try_sign report bio-hall.engine2
control "$PLATFORM" '{"add_box": {"name": "bio-hall.engine3", "zone": "bio-hall", "address": ""}}' >/dev/null
ctl leave bio-hall.engine3
try_sign box_list bio-hall.engine3
control "${ENGINES[bio-hall.engine3]}" '{"refuse": true}' >/dev/null
kill -KILL "${ENGINE_PIDS[bio-hall.engine2]}"
ctl engine put bio-hall.engine1 --service desk-model --zone bio-hall --address "${ENGINES[bio-hall.engine1]}" >/dev/null
sleep 1
load "$SITE_DIR/refused.json" --requests 60 --workers 4 --tokens 4
check "refused connection: all answered elsewhere" equal "$(jq '.wrong + .refused + .failed' "$SITE_DIR/refused.json")" 0
