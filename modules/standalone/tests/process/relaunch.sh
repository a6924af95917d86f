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

# Beside load the start of a program took longer than the 5 s for which it was waited.
check "a program that starts slowly is waited for" \
    launch slow bash -c "sleep 6; echo '{\"name\":\"started\"}' >&2"
ends_first() { ! launch ending bash -c "exit 1" 2>/dev/null; }
check "one that ends before it has started is not" ends_first
