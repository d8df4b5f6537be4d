#!/usr/bin/env bash
# Case 15. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")" && exec python3 -B case.py
