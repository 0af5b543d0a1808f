#!/bin/sh
# Prepares the stand-ins of the cases. They are Python 3.11 with the standard
# library only, so that there is nothing to compile but their byte code.
cd "$(dirname "$0")" || exit 2
exec python3 -m py_compile lib/*.py */case.py
