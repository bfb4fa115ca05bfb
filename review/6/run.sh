#!/bin/bash
# Plays the case against build/steprail: exit 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Writes record.txt beside this file. review/build-2.sh has to be run before.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
RUN=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
export RUN
[[ -n $RUN && -x build/steprail && -x review/standin-2/build/cases ]] || exit 2
exec review/standin-2/build/cases memory "$here"
