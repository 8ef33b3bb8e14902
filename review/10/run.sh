#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With TROUBLE=0 it does
# the same without the disruption. The program reads TROUBLE from its environment.
TROUBLE=${TROUBLE:-1}
export TROUBLE
cd "$(dirname "$0")/../.." || exit 2
folder=$(mktemp -d) || exit 2
timeout -s KILL 120 review/standin-2/bin/split_weights "$folder" review/10/record.txt
code=$?
rm -rf "$folder"
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
