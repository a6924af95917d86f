# A key's owner stands still for longer than its lease and wakes: what it ran does not run again at
# the new owner, and what reaches it late does not run at the old one.
SITE_ZONES="bio-hall"
SITE_RECORD=1
source "$(dirname "$0")/lib/check.sh"
start "$1"
old=$(key_owned_by bio-hall-1)
echo "freezing bio-hall-1 past its lease"
epoch=$(metric bio-hall-2 onyx_roster_epoch)
kill -STOP "${PIDS[bio-hall-1]}"
check "while it stands still its key is unknown" equal "$(charge bio-hall-2 "$old" | grep -c not-run)" 0
wait_for 20 epoch_above bio-hall-2 "$epoch"
sleep 0.5
check "at the new owner it does not run again" equal "$(charge bio-hall-2 "$old" | grep -c ' ran')" 0
# Fresh keys, each sent to the sleeper first: it finds them in its socket when it wakes.
for i in $(seq 1 12); do
    key=$(uuid7)
    echo "$key" >>"$SITE_DIR/keys"
    charge bio-hall-1 "$key" >>"$SITE_DIR/late" &
done
sleep 0.2
while read -r key; do charge bio-hall-2 "$key" >>"$SITE_DIR/new"; done <"$SITE_DIR/keys"
check "fresh keys run at the new owner" equal "$(grep -c '200 ran no' "$SITE_DIR/new")" 12
epoch=$(metric bio-hall-2 onyx_roster_epoch)
kill -CONT "${PIDS[bio-hall-1]}"
wait
check "no key ran twice" equal "$(doubled)" 0
check "none is said to be not-run" equal "$(cat "$SITE_DIR/late" "$SITE_DIR/new" | grep -c not-run)" 0
wait_for 20 epoch_above bio-hall-1 "$epoch"
sleep 0.8
check "the sleeper joins again and serves" equal "$(charge bio-hall-1 "$(uuid7)")" "200 ran no"
