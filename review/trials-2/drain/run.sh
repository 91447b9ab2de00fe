#!/usr/bin/env bash
# Exit 1: the rule was broken; 0: it held; 2: the case couldn't run.
# TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
exec python3 case.py "$PWD"
