# A key's owner is killed while its order is at the service: the key never runs again, whoever is
# asked for it, and later keys find a new owner.
SITE_ZONES="bio-hall"
SITE_RECORD=1
source "$(dirname "$0")/lib/check.sh"
start "$1"
known=$(key_owned_by bio-hall-2)
check "the known key ran once" equal "$(executions "$known")" 1

echo "killing the owner while the order is at the service"
control "${ENGINES[bio-hall.charge]}" '{"delay_ms": 1500}' >/dev/null
during=()
for i in 1 2 3 4 5 6 7 8; do
    during[i]=$(uuid7)
    charge bio-hall-1 "${during[i]}" >"$SITE_DIR/during.$i" &
done
sleep 0.5
epoch=$(metric bio-hall-1 onyx_roster_epoch)
kill -KILL "${PIDS[bio-hall-2]}"
wait
control "${ENGINES[bio-hall.charge]}" '{"delay_ms": 0}' >/dev/null
for i in 1 2 3 4 5 6 7 8; do
    check "an order in flight has an outcome: $(cat "$SITE_DIR/during.$i")" grep -qE "ran|unknown" "$SITE_DIR/during.$i"
done
check "a key of the lost owner is not said to be not-run" equal "$(charge bio-hall-1 "$known" | grep -c not-run)" 0
wait_for 15 epoch_above bio-hall-1 "$epoch"
sleep 0.5
for i in 1 2 3 4 5 6 7 8; do charge bio-hall-1 "${during[i]}" >>"$SITE_DIR/after"; done
check "no key ran twice" equal "$(doubled)" 0
check "no key of the lost owner is said to be not-run" equal "$(grep -c not-run "$SITE_DIR/after")" 0
fresh=$(uuid7)
check "a fresh key runs at the new owner" equal "$(charge bio-hall-1 "$fresh")" "200 ran no"
check "and once" equal "$(executions "$fresh")" 1
