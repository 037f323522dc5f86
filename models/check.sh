#!/bin/sh
# Checks a model: every state, every assertion. Ends with 0 only where Spin has seen all of it and found nothing.
set -eu
model=$(readlink -f "$1")
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$work"
spin -a "$model" >/dev/null
cc -O2 -DSAFETY -DVECTORSZ=2048 -DMEMLIM=4096 -o pan pan.c
./pan -m5000000 >out 2>&1 || { cat out; exit 1; }
grep -E "errors:|states, stored|depth reached" out
grep -q "errors: 0" out
! grep -q -E "max search depth too small|out of memory|search not completed" out
