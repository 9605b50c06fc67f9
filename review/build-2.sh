#!/bin/sh
# Builds what the cases of the second review start: the controller, and the project's own agent,
# state service and artifact store. Needs the packages of deploy/service.toml and no network. The
# cloud, the other workers and the users are rig_2.py, which needs only Python 3 itself.
set -e
cd "$(dirname "$0")/.."
cmake -S . -B target -DCMAKE_BUILD_TYPE=Release
cmake --build target -j8 --target shunttrail-controller shunttrail-agent shunttrail-local
python3 -c 'import sys; assert sys.version_info >= (3, 8)'
