#!/usr/bin/env bash
# The stand-ins of review/6 to review/10 are Python and need no build; this
# checks that they can be read. The program is that of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
for file in world2.py [0-9]*/case.py; do
  [ -e "$file" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
