#!/bin/sh
# Builds the stand-ins of the cases.  They are Python modules without dependencies of their own:
# this compiles them, and checks that they load with the packages of the deploy file's build.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:. PYTHONDONTWRITEBYTECODE=1 python3 - <<'CODE'
import ast
import pathlib

for path in sorted(pathlib.Path("review").rglob("*.py")):
    ast.parse(path.read_text(), str(path))
import review.common.fleet
import standins.key_grants
import standins.link
import standins.platform_store
CODE
