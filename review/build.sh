#!/bin/sh
# Builds the stand-ins of the cases into review/build.
set -e
cd "$(dirname "$0")"
mkdir -p build
g++ -std=c++20 -O1 -Wall -Wextra -pthread -o build/harness harness/*.cpp
