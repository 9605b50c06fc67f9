#!/usr/bin/env bash
# Builds the project's own stand-ins that the cases start: the state service's emulator and the
# artifact store (shunttrail-local), and the worker agent. The other stand-ins are Python scripts of
# the standard library (rig.py), which need no build.
set -eu
cd "$(dirname "$0")/.."
if [ ! -f target/CMakeCache.txt ]; then
  cmake -S . -B target -DCMAKE_BUILD_TYPE=Release
fi
cmake --build target -j8
for program in shunttrail-controller shunttrail-agent shunttrail-local; do
  [ -x "target/$program" ] || { echo "target/$program is missing" >&2; exit 1; }
done
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 1; }
