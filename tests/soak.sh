#!/bin/bash
# A soak of real gateway processes: each seed draws a schedule of signals and faults, which the rig plays and
# judges by its rules. A seed always gives the same schedule.
#
#   soak.sh BUILD_DIR FIRST_SEED LAST_SEED [SECONDS]
#
# Prints one line for each seed; the logs of a seed that fails stay in BUILD_DIR/soak. Exit code 1: a rule was
# broken on some seed.
set -euo pipefail
build_dir=$1
first_seed=$2
last_seed=$3
seconds=${4:-12}
out=$build_dir/soak
mkdir -p "$out"

# Prints the scenario of a seed.
scenario() {
  awk -v seed="$1" -v seconds="$seconds" '
    function uniform(low, high) { return low + rand() * (high - low) }
    function add(at, text) {
      faults = faults (faults == "" ? "" : ",\n    ") sprintf("{\"at_s\": %.2f, %s}", at, text)
    }
    function gateway() { return sprintf("{\"of\": \"gateways\", \"numbers\": [%d]}", int(rand() * gateways)) }
    BEGIN {
      srand(seed)
      gateways = 2 + int(rand() * 4)
      last = seconds - 5  # the last signal, so that its effects are seen
      for (at = uniform(1, 2); at < last; at += uniform(0.2, 2.5)) {
        on = gateway()
        kind = int(rand() * 6)
        if (kind == 0) add(at, "\"do\": \"hup\", \"on\": " on)
        if (kind == 1) {
          add(at, "\"do\": \"hup\", \"on\": " on)
          add(at + uniform(0, 0.01), "\"do\": \"hup\", \"on\": " on)
        }
        if (kind == 2) {
          add(at, "\"do\": \"hup\", \"on\": " on)
          add(at, "\"do\": \"term\", \"on\": " on ", \"for_s\": 4")
        }
        if (kind == 3) add(at, "\"do\": \"upgrade\", \"on\": " on)
        if (kind == 4) add(at, "\"do\": \"term\", \"on\": " on ", \"for_s\": 4")
        if (kind == 5) add(at, "\"do\": \"kill\", \"on\": " on ", \"for_s\": 1")
      }
      trouble = int(rand() * 5)
      at = uniform(1, last)
      if (trouble == 1) add(at, "\"do\": \"silent\", \"on\": {\"of\": \"hosts\", \"share\": 0.3}, \"for_s\": 3")
      if (trouble == 2) add(at, "\"do\": \"mute\", \"on\": {\"of\": \"discovery\"}")
      if (trouble == 3) add(at, "\"do\": \"refuse\", \"on\": {\"of\": \"discovery\"}, \"for_s\": 2")
      if (trouble == 4)
        add(at, "\"do\": \"cut\", \"on\": " gateway() ", \"to\": {\"of\": \"hosts\", \"share\": 0.4}, \"for_s\": 2")
      sockets = rand() < 0.3 ? 256 : 1024
      memory_mb = rand() < 0.3 ? 32 : 192
      printf "{\"name\": \"soak\", \"seed\": %d, \"gateways\": %d, \"groups\": 2, \"members\": 3,\n", seed, gateways
      printf " \"zones\": [\"a\", \"b\"], \"seconds\": %d, \"warm_up_s\": 1, \"load\": %.2f,\n", seconds, uniform(0.2, 0.5)
      printf " \"memory_mb\": %d, \"sockets\": %d, \"leaving\": %.2f,\n", memory_mb, sockets, uniform(0, 0.2)
      printf " \"faults\": [%s]}\n", faults
    }'
}

failed=0
for seed in $(seq "$first_seed" "$last_seed"); do
  scenario "$seed" >"$out/$seed.json"
  code=0
  "$build_dir/cedarring" rig run "$out/$seed.json" --seed "$seed" --out "$out/$seed" >"$out/$seed.log" 2>&1 || code=$?
  case $code in
    0) verdict="rules kept" ;;
    3) verdict="rules kept; the machine was too slow for a verdict on figures" ;;
    *) verdict="FAILED, exit code $code: see $out/$seed.log"; failed=1 ;;
  esac
  echo "soak seed $seed: $verdict"
done
exit $failed
