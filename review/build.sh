#!/bin/bash
# Builds the stand-ins of the cases into review/target, which is not committed.
set -e
cd "$(dirname "$0")"
mkdir -p target
javac -Xlint:-options --release 17 --add-modules jdk.httpserver -d target standin/org/review/*.java
