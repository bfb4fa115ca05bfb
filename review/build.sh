#!/bin/sh
# The stand-ins are Python scripts of the standard library alone, so there is nothing to compile: this checks that the
# interpreter that run.sh takes reads all of them.
here=$(cd "$(dirname "$0")" && pwd)
python=/usr/bin/python3
[ -x "$python" ] || python=$(command -v python3) || { echo "python3 is missing" >&2; exit 1; }
for file in "$here"/standin/*.py "$here"/[0-9]*/case.py; do
  "$python" -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file" || exit 1
done
