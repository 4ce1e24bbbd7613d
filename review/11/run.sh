#!/usr/bin/env bash
# One of three core machines loses its disk twice, the second time right after it is back. Exits with 1 if the acknowledged configuration is lost for good,
# with 0 if not, and with 2 if the case could not run. TROUBLE=0 leaves the losses out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/burdocksaddle ] && [ -x target/review-three ] || { echo "build first: deploy/system.toml, review/build-3.sh" >&2; exit 2; }
exec target/review-three lost-disk review/11/record.txt
