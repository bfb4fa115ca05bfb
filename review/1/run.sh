#!/bin/sh
# Plays the case and exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the
# disruption. What was sent, answered and run is written to record.txt beside this script.
here=$(cd "$(dirname "$0")" && pwd)
python=/usr/bin/python3
[ -x "$python" ] || python=$(command -v python3) || exit 2
exec "$python" -B "$here/case.py"
