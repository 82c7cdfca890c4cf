#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption. What happened is in record.txt.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
if [ ! -x "$root/bin/millethinge" ] || [ ! -x "$root/review/bin/rig" ]; then
	echo "run the build of deploy/balancer.toml and review/build.sh first"
	exit 2
fi
timeout -k 3 115 "$root/review/bin/rig" outage "$root" "$here"
status=$?
case $status in
0 | 1) exit $status ;;
*) exit 2 ;;
esac
