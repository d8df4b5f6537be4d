#!/bin/sh
exec timeout -k 8 110 python3 "$(dirname "$0")/case.py"
