#!/usr/bin/env bash
# Runs clang-tidy on the sources, in parallel. With LINT_BASE set, only on
# those that differ from that revision.
set -euo pipefail
build=${1:-build}
if [ -n "${LINT_BASE:-}" ]; then
  files=$(git diff --name-only --diff-filter=d "$LINT_BASE" -- 'src/*.cpp' 'platform/*.cpp')
else
  files=$(git ls-files 'src/*.cpp' 'platform/*.cpp')
fi
[ -n "$files" ] || exit 0
# The linter cannot read the compiler's precompiled headers.
cmake -G Ninja -S . -B "$build/lint" -DCMAKE_DISABLE_PRECOMPILE_HEADERS=ON \
  -DWHINTACK_TESTS=OFF -DWHINTACK_BENCHMARKS=OFF >/dev/null
echo "$files" | xargs -P "${LINT_JOBS:-$(nproc)}" -n 4 \
  clang-tidy -p "$build/lint" --quiet
