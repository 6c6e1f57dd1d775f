#!/usr/bin/env bash
# Measures the request path over loopback: requests sent directly to backend
# servers and through one entry VM in the same run, overload, and the processor
# time, peer traffic and memory of an idle entry VM.
set -eu
program=${1:-build/whintack}
here=$(dirname "$0")/../tests/auto/processes
work=$(mktemp -d)
pids=()
finish() {
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap finish EXIT
files=(--settings "$here/local.yaml" --declaration "$here/declaration.yaml")
"$program" local "${files[@]}" --write-settings "$work" >/dev/null
# Use the default poll interval instead of that of the test fleet.
sed -i "s/^poll-interval: .*/poll-interval: 500ms/" "$work"/*.yaml
"$program" standin "${files[@]}" >"$work/standin.log" 2>&1 &
pids+=($!)
for file in "$work"/*.yaml; do
  "$program" entry --settings "$file" >>"$work/entries.log" 2>&1 &
  pids+=($!)
done
first=${pids[1]}
export WHINTACK_ENTRY=127.91.1.1:8081 WHINTACK_TOKEN=ada-local-token
for _ in $(seq 100); do
  "$program" apply --declaration "$here/declaration.yaml" --revision 0 \
    >/dev/null 2>&1 && break
  sleep 0.2
done
sleep 4
# Backend servers that the platform has assigned to one service.
servers=$("$program" status --json | grep -o '"service":"checkout","state":"live","vm":"[^"]*"' |
  sed 's/.*"vm":"\(.*\)"/\1/' | sort | head -n 4)
direct=""
for vm in $servers; do
  # The VM kigali-D-rack-R-vm-V has the number (D-1)*12 + (R-1)*4 + V, which is
  # the last part of its address.
  number=$(echo "$vm" | sed 's/kigali-\([0-9]*\)-rack-\([0-9]*\)-vm-\([0-9]*\)/\1 \2 \3/' |
    awk '{print ($1 - 1) * 12 + ($2 - 1) * 4 + $3}')
  direct="$direct,127.91.2.$number:9000"
done
direct=${direct#,}
for concurrency in 1 8; do
  for orders in 0 100; do
    echo "== concurrency $concurrency, orders $orders percent"
    echo -n "direct:  "
    "$program" load --target "$direct" --service checkout --direct \
      --concurrency $concurrency --orders $orders --work-ms 0 --seconds 3 |
      tail -n 1
    echo -n "through: "
    "$program" load --target 127.91.1.1:8080 --service checkout \
      --concurrency $concurrency --orders $orders --work-ms 0 --seconds 3 |
      tail -n 1
  done
done
echo "== overload: 10 ms of work on 12 servers with 8 slots (9,600 a second at most)"
for concurrency in 48 86 115; do
  echo -n "$concurrency callers: "
  "$program" load --target 127.91.1.1:8080,127.91.1.2:8080,127.91.1.3:8080,127.91.1.4:8080,127.91.1.5:8080 \
    --service checkout --concurrency $concurrency --orders 0 --work-ms 10 \
    --seconds 4 --http-threads 4 | tr '\n' ' '
  echo
done
echo "== one idle entry VM over 20 s"
ticks() { awk '{print $14 + $15}' "/proc/$first/stat"; }
bytes() {
  curl -s http://127.91.1.1:8081/metrics |
    awk '/^whintack_peer_(sent|received)_bytes_total/ {s += $2} END {print s}'
}
before=$(ticks) sent=$(bytes)
sleep 20
after=$(ticks) now=$(bytes)
awk -v a="$before" -v b="$after" -v s="$sent" -v n="$now" 'BEGIN {
  printf "processor %.2f %% of a core, peer traffic %.0f bytes a second\n",
    (b - a) / 20, (n - s) / 20 }'
grep VmRSS "/proc/$first/status"
