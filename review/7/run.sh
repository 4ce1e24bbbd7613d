#!/bin/sh
# Plays the case with the program of the deploy file; TROUBLE=0 leaves the removals out. Exits with 1 if the rule was broken, 0 if it held, and 2 if
# the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/burdocksaddle ] && [ -x target/review/core ] || exit 2
exec target/review/core target/burdocksaddle review/7/record.txt
