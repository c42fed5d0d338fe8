#!/bin/sh
# Builds the stand-ins of the review's scripts, in review/bin/.
set -e
cd "$(dirname "$0")"
mkdir -p bin
for source in */*_case.cc; do
  name=$(basename "$source" .cc)
  g++ -std=c++17 -O1 -Wall -Wextra "$source" -o "bin/$name" -pthread
done
