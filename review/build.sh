#!/bin/bash
# Checks the stand-ins of the scripts. They are Python 3 (3.9 or later) and use its standard
# library only; the program under test is built by the deploy file.
set -e
cd "$(dirname "$0")"
python3 -c 'import ast, glob; [ast.parse(open(name).read(), name) for name in glob.glob("**/*.py", recursive=True)]'
