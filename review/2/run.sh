#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# Writes what was sent, answered and run to record.txt.
cd "$(dirname "$0")" || exit 2
exec python3 -B play.py record.txt
