#!/usr/bin/env bash
# The stand-ins are Python programs (review/stand), which need no build. Checks that they can be loaded and that the
# programs of the deploy file are there.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'END'
import sys
sys.dont_write_bytecode = True
sys.path.insert(0, "review/stand")
import fleet
import os
for command in fleet.deploy_commands().values():
    assert os.access(command[0], os.X_OK), f"{command[0]} is missing: run the build command of deploy/system.toml"
print("review: stand-ins can be loaded")
END
