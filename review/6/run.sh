#!/bin/sh
exec timeout -k 5 110 python3 "$(dirname "$0")/case.py"
