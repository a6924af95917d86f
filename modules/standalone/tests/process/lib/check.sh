# Shared by the process tests. Source with the build folder in $1; ends the test with site_stop.
# Times are short, so that a fault and its repair fit into a test; nothing asserts a duration.
cd "$(dirname "${BASH_SOURCE[0]}")/../../../../.." || exit 1
SITE_ROUTER_SETTINGS='
[peers]
timeout_ms = 600
[keys]
lease_ms = 2000
lease_renew_ms = 500
drift_margin_ms = 200
skew_limit_ms = 100
'
source modules/standalone/scripts/site
FAILED=0
finish() {
    [ -n "${KEEP_TRACES:-}" ] && mkdir -p "$KEEP_TRACES" && cp "$SITE_DIR"/*.trace "$KEEP_TRACES"/ 2>/dev/null
    if [ $FAILED != 0 ]; then
        echo "FAILED; last lines of the routers' logs:"
        tail -n 6 "$SITE_DIR"/*-hall-[0-9].log
    fi
    site_stop
    [ $FAILED = 0 ] && echo ok
    exit $FAILED
}
trap finish EXIT

# check NAME COMMAND...: notes a failure and goes on.
check() {
    local name=$1
    shift
    if "$@"; then echo "  pass: $name"; else echo "  FAIL: $name ($*)"; FAILED=1; fi
}
equal() { [ "$1" = "$2" ] || { echo "    found '$1', expected '$2'"; return 1; }; }
at_most() { [ "$1" -le "$2" ] || { echo "    found $1, expected at most $2"; return 1; }; }
at_least() { [ "$1" -ge "$2" ] || { echo "    found $1, expected at least $2"; return 1; }; }

# start BUILD: a site that is ready for keys.
start() {
    site_start "$1" || { echo "the site did not start"; FAILED=1; exit 1; }
    wait_for 20 keys_ready || { FAILED=1; exit 1; }
    sleep 0.6 # Keys minted before the rosters began are nobody's.
}

# epoch_above BOX EPOCH: whether the box has taken a later roster.
epoch_above() { [ "$(metric "$1" onyx_roster_epoch)" -gt "$2" ]; }

# Keys that ran more than once, over all replicas of the service.
doubled() {
    local name
    for name in "${!ENGINES[@]}"; do
        [[ $name == *.charge* ]] && control "${ENGINES[$name]}" ''
    done | jq -s '[.[].executions | to_entries[]] | group_by(.key) | map(map(.value) | add) | map(select(. > 1)) | length'
}

# ran_after_not_run REPORT: keys that were answered not-run and were executed all the same.
ran_after_not_run() {
    local executed name
    executed=$(for name in "${!ENGINES[@]}"; do
        [[ $name == *.charge* ]] && control "${ENGINES[$name]}" ''
    done | jq -s '[.[].executions | keys[]]')
    jq --argjson ran "$executed" '[.keys | to_entries[] | select(.value == "not-run") | .key | select(. as $k | $ran | index($k))] | length' "$1"
}

# load FILE ARGS...: onyx-load against all boxes, or those in LOAD_BOXES.
load() {
    local file=$1 box
    shift
    local targets=()
    for box in ${LOAD_BOXES:-${!CALLERS[@]}}; do targets+=(--target "${CALLERS[$box]}"); done
    "$SITE_BUILD/onyx-load" "${targets[@]}" --token token-norte --token token-cantabria "$@" >"$file"
}

# A key whose home zone and owner is BOX, found by asking: the box's own counter of runs moves.
key_owned_by() {
    local box=$1 before after key
    for _ in $(seq 1 200); do
        key=$(uuid7)
        before=$(metric "$box" onyx_key_runs_total)
        charge "$box" "$key" >/dev/null
        after=$(metric "$box" onyx_key_runs_total)
        [ "${after:-0}" != "${before:-0}" ] && { echo "$key"; return 0; }
    done
    return 1
}
