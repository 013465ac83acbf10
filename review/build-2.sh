#!/bin/sh
# Builds the stand-ins and clients of the cases 6 to 10 into build-review-2/.
set -e
cd "$(dirname "$0")/.."
mkdir -p build-review-2
for source in review/harness-2/*.cpp; do
    name=$(basename "$source" .cpp)
    [ "$name" = stand_ins ] && continue
    c++ -std=c++20 -O1 -Wall -Wextra -Wfatal-errors -pthread -I review/harness-2 "$source" review/harness-2/stand_ins.cpp \
        -o "build-review-2/$name"
done
