#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/review-2, after the
# build of the deploy file. Needs nothing but its packages.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -Wall -Wextra -pthread review/standin-2/*.cc -o target/review-2/cases
