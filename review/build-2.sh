#!/bin/bash
# Builds the stand-ins of the cases 6 to 10. They are Python and use the standard library only, so
# that this only compiles them to show that this Python can run them. The gateway processes use what
# the build line of deploy/system.toml has put under target/deps.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys, tomllib; assert sys.version_info >= (3, 11)'
for file in common-2/*.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py; do
  python3 - "$file" <<'P'
import sys
path = sys.argv[1]
compile(open(path, encoding="utf-8").read(), path, "exec")
P
done
[ -d ../target/deps ] || { echo "run the build line of deploy/system.toml first"; exit 1; }
