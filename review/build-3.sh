#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 11 to 15 start. Needs the build of the deploy file.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review-3
javac -d target/review-3 review/standin-3/review3/*.java
