#!/bin/sh
# Plays the case once: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")" || exit 2
here=$(pwd)
root=$(cd ../.. && pwd)
[ -x ../bin/standins ] || { echo "run review/build.sh first"; exit 2; }
folder=$(mktemp -d) || exit 2
# The balancer ends with the stand-ins' process, however that ends (PR_SET_PDEATHSIG).
trap 'kill "$player" 2>/dev/null; wait "$player"; rm -rf "$folder"; exit 2' INT TERM HUP
TMPDIR=$folder timeout -k 5 110 ../bin/standins silent-connection "$root" "$here" &
player=$!
wait "$player"
code=$?
rm -rf "$folder"
case $code in 0|1) exit $code ;; *) exit 2 ;; esac
