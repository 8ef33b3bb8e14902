#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into review/standin-2/bin.
set -e
cd "$(dirname "$0")/standin-2"
mkdir -p bin
for source in *.cpp; do
  g++ -std=c++20 -O1 -pthread -Wall -Wextra -o "bin/${source%.cpp}" "$source"
done
