#!/usr/bin/env bash
# The stand-ins of the scripts are Python of the standard library: nothing is
# compiled. Fails if they cannot run here.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), sys.version'
for file in world.py */play.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
