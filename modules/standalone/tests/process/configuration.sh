# Changes of configuration: two operators race, an answer is lost, the store goes back, an object is
# corrupt. What was accepted is in force on every box and never reverts.
SITE_BOXES_PER_ZONE=1
source "$(dirname "$0")/lib/check.sh"
start "$1"
in_force() { ctl --json status | jq -r '.boxes[].revision' | sort -u | tr '\n' ' '; }
settled() { [ "$(in_force)" = "$1 " ]; }
check "revision 1 is in force everywhere" equal "$(in_force)" "1 "

echo "two operators race from the same revision"
ctl --against 1 team put race-a --token a >"$SITE_DIR/a" 2>&1 & a=$!
ctl --against 1 team put race-b --token b >"$SITE_DIR/b" 2>&1 & b=$!
wait $a; codeA=$?
wait $b; codeB=$?
check "one wins, the other is told the revision" equal "$((codeA + codeB))" 3
check "the loser learns the current revision" grep -q "current revision is 2" "$SITE_DIR/a" "$SITE_DIR/b"
check "revision 2 is in force" wait_for 5 settled 2

echo "bad changes"
check "a bad field is named" grep -q "put_engine.address" <<<"$(ctl engine put e --service s --zone z --address nowhere 2>&1)"

check "home zones of keys cannot change" grep -q "put_service.zones" <<<"$(ctl service put charge --kind plain --once --zone bio-hall 2>&1)"
check "a service needs home zones if it may not be repeated" grep -q "put_service.zones" <<<"$(ctl service put once --kind plain --once 2>&1)"

echo "the answer of an accepted change is lost"
control "$PLATFORM" '{"lose_answers": 2}' >/dev/null
check "the change is accepted once" equal "$(ctl --change-id x1 team put lost --token c 2>&1)" "accepted as revision 3"
check "the same change again is the same revision" equal "$(ctl --change-id x1 team put lost --token c)" "accepted as revision 3"
control "$PLATFORM" '{"lose_answers": 0}' >/dev/null
check "revision 3 is in force" wait_for 5 settled 3

echo "the platform is restored to an older version"
control "$PLATFORM" '{"save": true}' >/dev/null
ctl team put newer --token d >/dev/null
check "revision 4 is in force" wait_for 5 settled 4
control "$PLATFORM" '{"restore": true}' >/dev/null
sleep 1.5
check "it stays in force" equal "$(in_force)" "4 "
check "an operator's next change builds on what is in force" equal "$(ctl team put after --token e)" "accepted as revision 5"
check "and nothing accepted is lost" equal "$(ctl show | grep -cE '^(newer|after) ')" 2
check "revision 5 is in force" wait_for 5 settled 5
check "the boxes said that an older one was offered" grep -q '"name":"config-stale"' "$SITE_DIR/bio-hall-1.log"

echo "a corrupt head"
version=$(curl -s "http://$PLATFORM/v1/objects/config/head" | jq .version)
curl -s -X PUT "http://$PLATFORM/v1/objects/config/head?expect=$version" -d '{"value":"{\"revision\": 9,"}' >/dev/null
sleep 1
check "the last good one stays" equal "$(for b in "${!METRICS[@]}"; do metric "$b" onyx_config_revision; done | sort -u)" 5
check "the agent says so" grep -q '"name":"config-corrupt"' "$SITE_DIR/bio-hall-1-agent.log"

echo "settings"
"$SITE_BUILD/onyx-router" --settings "$SITE_DIR/bio-hall-1.toml" --check
check "good settings pass --check" equal $? 0
echo 'surprise = 1' | cat - "$SITE_DIR/bio-hall-1.toml" >"$SITE_DIR/bad.toml"
"$SITE_BUILD/onyx-router" --settings "$SITE_DIR/bad.toml" --check 2>"$SITE_DIR/bad.txt"
check "bad settings do not" equal $? 2
check "and name the key" grep -q "surprise: expected no such key" "$SITE_DIR/bad.txt"
