#!/usr/bin/env bash
# Builds what the scripts of review/4 to review/8 start beside target/onyx-gateway: the stand-ins and
# callers, into target/review-2. Run it after the build of deploy/system.toml; works again when run twice.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standin-2 -B target/review-2 -G Ninja >/dev/null
cmake --build target/review-2
