#!/bin/sh
# Runs clang-tidy on the sources, except generated code, tests and benchmarks.
# Argument: build folder.
set -eu
BUILD=${1:-build}
ls src/*.cpp src/*/*.cpp platform/*.cpp tools/*.cpp standins/*.cpp 2>/dev/null |
  xargs -P "$(nproc)" -n 1 clang-tidy -p "$BUILD" --quiet
