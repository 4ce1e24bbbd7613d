#!/bin/sh
# Builds the stand-ins and drivers that the scripts of review cases 6 to 10 start, into target/review/.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/core ./review/_core/platform
