#!/usr/bin/env bash
# Plays the case. Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")" || exit 2
exec timeout --signal=TERM --kill-after=5 110 python3 -B case.py
