#!/bin/sh
# Writes record.txt in this folder. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
if [ ! -x target/plantainwall ] || [ ! -x target/review-2/case-8 ]; then
    echo "not run: the build of deploy/system.toml or review/build-2.sh is missing" >"$here/record.txt"
    exit 2
fi
# Starts the entry hosts: target/plantainwall gateway --config FILE.
exec target/review-2/case-8 "$here/record.txt"
