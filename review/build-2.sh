#!/usr/bin/env bash
# Prepares what the scripts of review/6 to review/9 start, after the build of the deploy file. Their
# stand-ins are one Python module without dependencies, so nothing has to be compiled.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 9), sys.version'
for file in standins-2/standins.py [6-9]/run.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
