#!/bin/sh
# Runs the case; see claim.txt. Needs the build of deploy/system.toml and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case2 ] || exit 2
exec target/review/case2
