#!/usr/bin/env bash
# A core machine stands still for 3.5 s while its group has a standby, and the disk of another one is lost meanwhile. Exits with 1 if the acknowledged
# configuration is lost for good, with 0 if not, and with 2 if the case could not run. TROUBLE=0 leaves both out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/burdocksaddle ] && [ -x target/review-three ] || { echo "build first: deploy/system.toml, review/build-3.sh" >&2; exit 2; }
exec target/review-three silent-voter review/13/record.txt
