#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/. Needs g++ only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
pids=()
for source in review/standin/*.cpp; do
    name=$(basename "$source" .cpp)
    g++ -std=c++20 -O1 -pthread -Wall -Wextra "$source" -o "target/review/$name" &
    pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
