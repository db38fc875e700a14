#!/bin/sh
# Builds every stand-in that the cases 6 to 10 start. All of them are Python and need no more than requirements.txt,
# which the deploy file's `build` installs; this compiles them once, so that a mistake shows here.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python - <<'END'
import pathlib
for path in [pathlib.Path("review/rig_2.py"), *pathlib.Path("review").glob("[6-9]/check.py"), *pathlib.Path("review").glob("10/check.py")]:
    compile(path.read_text(), str(path), "exec")
END
.venv/bin/python -c 'import chutepin.testbench.standins.amqp_broker, chutepin.testbench.standins.platform'
