#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
set -uo pipefail
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 exec python3 run.py
