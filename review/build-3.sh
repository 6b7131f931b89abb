#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start, into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for name in slow_readers long_prompts named_limit; do
  g++ -std=c++20 -O2 -Wall -Wextra -o "target/review-3/$name" "review/standin-3/$name.cc"
done
