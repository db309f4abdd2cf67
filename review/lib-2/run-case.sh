#!/bin/sh
# Runs the case in the current folder: run-case.sh SCRIPT RECORD. Exit code: 0 the rule held, 1 it was broken, 2 the case
# could not run.
echo "not run" > "$2" || exit 2
export PYTHONDONTWRITEBYTECODE=1
timeout --signal=TERM --kill-after=4 112 python3 "$1" "$2" &
case_pid=$!
trap 'kill -TERM "$case_pid" 2> /dev/null' INT TERM HUP
wait "$case_pid"
code=$?
# A signal ends the first wait before the case has ended what it started.
while kill -0 "$case_pid" 2> /dev/null; do
    wait "$case_pid"
    code=$?
done
# The scripts exit with 10 for a broken rule, so that an error of Python does not look like one.
[ "$code" -eq 0 ] && exit 0
[ "$code" -eq 10 ] && exit 1
exit 2
