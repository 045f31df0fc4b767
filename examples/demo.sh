#!/bin/sh
# Starts the example fleets on loopback, drives them and stops them again.
set -eu
cd "$(dirname "$0")/.."
out=.demo
rm -rf "$out"
mkdir -p "$out"
pids=""
trap 'kill $pids 2>/dev/null || true; wait' EXIT INT TERM

start() {
    name=$1
    shift
    "$@" 2>"$out/$name.log" &
    echo $! >"$out/$name.pid"
    pids="$pids $!"
}

port=8460
for fleet in reykjanes stoyanov; do
    platform="127.80.0.1:$port"
    start "$fleet-objects" hickorylever standin objects --address 127.80.0.1 --port "$port" --latency 0.005
    hickorylever demo prepare "examples/$fleet" --platform "$platform" --output "$out" >"$out/$fleet.commands"
    while read -r name line; do
        # shellcheck disable=SC2086
        start "$name" $line
    done <"$out/$fleet.commands"
    tries=0
    until hickorylever apply "examples/$fleet" --platform "$platform" --reason "demo" 2>"$out/apply.log"; do
        tries=$((tries + 1))
        [ "$tries" -lt 20 ] || { cat "$out/apply.log"; exit 1; }
        sleep 0.5
    done
    port=$((port + 1))
done
hickorylever demo drive examples/reykjanes examples/stoyanov --output "$out"
