#!/bin/sh
# Runs case.py of the folder in $1. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case couldn't run.
cd "$1" || exit 2
timeout -k 5 118 python3 case.py
case $? in
10) exit 0 ;;
11) exit 1 ;;
esac
exit 2
