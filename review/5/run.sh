#!/usr/bin/env bash
# An answer to an entry is lost while the client's key is taken away.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
if [ ! -x target/review/standin ]; then
  echo "run review/build.sh first"
  exit 2
fi
calm=()
[ "${TROUBLE:-1}" = 0 ] && calm=(--calm)
exec target/review/standin refused "$here/record.txt" "${calm[@]}"
