#!/bin/sh
# Builds the stand-ins of the third review into target/review-3, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
c++ -std=c++20 -O1 -pthread -Wall -Wextra -o target/review-3/standin review/standins-3/standin.cpp
