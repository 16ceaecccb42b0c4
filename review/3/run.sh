#!/usr/bin/env bash
# Runs the case of this folder; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
[ -x "$root/target/review/standin" ] && [ -x "$root/target/lavenderhub" ] || { echo "build first: the build of the deploy file, then review/build.sh"; exit 2; }
exec "$root/target/review/standin" quorum "$root" "$here"
