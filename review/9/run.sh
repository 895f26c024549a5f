#!/usr/bin/env bash
# Plays the case of claim.txt; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was
# broken, with 0 if it held, and with 2 if the case could not run.
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
if [ ! -x target/review-2/standin ]; then
  echo "build the deploy file's programs, then run review/build-2.sh"
  exit 2
fi
target/review-2/standin unheard-failure review/9/record.txt
result=$?
[ "$result" -le 1 ] || exit 2
exit "$result"
