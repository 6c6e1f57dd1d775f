#!/usr/bin/env bash
# Runs clang-tidy on the sources in parallel. If LINT_BASE is set, only files that
# differ from that revision are checked.
set -euo pipefail
build=${1:-build}
if [ -n "${LINT_BASE:-}" ]; then
  files=$(git diff --name-only --diff-filter=d "$LINT_BASE" -- 'src/*.cpp' 'platform/*.cpp')
else
  files=$(git ls-files 'src/*.cpp' 'platform/*.cpp')
fi
[ -n "$files" ] || exit 0
# clang-tidy cannot read the precompiled headers of the compiler.
cmake -G Ninja -S . -B "$build/lint" -DCMAKE_DISABLE_PRECOMPILE_HEADERS=ON \
  -DWHINTACK_TESTS=OFF -DWHINTACK_BENCHMARKS=OFF >/dev/null
echo "$files" | xargs -P "${LINT_JOBS:-$(nproc)}" -n 4 \
  clang-tidy -p "$build/lint" --quiet
