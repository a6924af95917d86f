# A program that is started again is known by the log of its own life, not by that of the one before:
# under load the shell was still to empty the log when the test already read the old one.
source "$(dirname "$0")/lib/check.sh"
SITE_DIR=$(mktemp -d)
wrong=0
for ((life = 1; life <= 200; life++)); do
    launch again bash -c "echo '{\"name\":\"started\",\"callers\":\"life-$life\"}' >&2"
    [ "$(field "$SITE_DIR/again.log" callers)" = "life-$life" ] || wrong=$((wrong + 1))
done
check "every life is known by its own log" equal "$wrong" 0
