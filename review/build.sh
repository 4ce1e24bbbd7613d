#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, the project's own (platform/standin) among them, into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-cluster ./review/_cluster/platform
