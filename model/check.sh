#!/bin/bash
# Checks a model exhaustively with spin. Without MACRO the model must have no error; with MACRO, which
# removes a safeguard, spin must find an assertion violation.
#   check.sh MODEL.pml [MACRO]
set -euo pipefail
model=$(realpath "$1")
macro=${2:-}
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
cd "$dir"
spin -a ${macro:+"-D$macro"} "$model" >spin.log
cc -w -O2 -DSAFETY -DCOLLAPSE -o pan pan.c
./pan -m100000 -n >pan.log || true
grep -E 'errors:|states, stored|assertion violated|elapsed' pan.log || true
grep -q 'max search depth too small' pan.log && { echo "search incomplete: depth limit of 100000 reached"; exit 1; }
if [ -z "$macro" ]; then
  grep -q 'errors: 0$' pan.log
else
  grep -q 'assertion violated' pan.log
fi
