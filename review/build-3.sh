#!/usr/bin/env bash
# Builds the stand-ins of the scripts of this review into target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/harness-3/*.cpp; do
  g++ -std=c++20 -O1 -pthread -o "target/review-3/$(basename "$source" .cpp)" "$source"
done
