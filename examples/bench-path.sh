#!/bin/sh
# Starts a stand-in engine, a sidecar and a router on loopback, runs the path bench, stops them.
set -eu
cd "$(dirname "$0")/.."
out=.bench
platform=127.83.0.1:8460
rm -rf "$out"
mkdir -p "$out"
pids=""
trap 'kill $pids 2>/dev/null || true; wait' EXIT INT TERM

hickorylever standin objects --address 127.83.0.1 --port 8460 2>"$out/objects.log" &
pids="$pids $!"
hickorylever standin engine --address 127.83.1.10 --port 8000 --token 0.005 --prefill 1e9 2>"$out/engine.log" &
pids="$pids $!"
hickorylever demo prepare examples/bench --platform "$platform" --output "$out" >/dev/null
hickorylever sidecar --settings "$out/bench/bench-vm-1.toml" 2>"$out/sidecar.log" &
sidecar=$!
hickorylever router --settings "$out/bench/bench-entry-1.toml" 2>"$out/router.log" &
router=$!
pids="$pids $sidecar $router"
tries=0
until hickorylever apply examples/bench --platform "$platform" --reason bench >/dev/null 2>"$out/apply.log"; do
    tries=$((tries + 1))
    [ "$tries" -lt 20 ] || { cat "$out/apply.log"; exit 1; }
    sleep 0.5
done
HICKORYLEVER_BENCH_PATH="{\"router\": [\"127.83.0.10\", 8480], \"engine\": [\"127.83.1.10\", 8000], \"pids\": {\"router\": $router, \"sidecar\": $sidecar}}"
export HICKORYLEVER_BENCH_PATH
hickorylever bench path "$@"
