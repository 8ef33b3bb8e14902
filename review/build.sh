#!/bin/sh
# Builds the stand-ins of the review's scripts into target/review/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standin/*.cpp; do
  g++ -std=c++20 -O1 -pthread -Wall -Wextra -o "target/review/$(basename "$source" .cpp)" "$source"
done
