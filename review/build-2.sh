#!/bin/bash
# Builds the stand-ins and cases of the second review into build/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
rm -f build/review-2/case-*
for source in review/[4-8]/case.cpp; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "build/review-2/case-$number" "$source" &
done
wait
for source in review/[4-8]/case.cpp; do
  test -x "build/review-2/case-$(basename "$(dirname "$source")")"
done
