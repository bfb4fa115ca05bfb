#!/bin/bash
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file. Needs only packages listed there.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
mkdir -p build
g++ -std=c++20 -O1 -Wall -Wextra -pthread -o build/cases cases.cpp
