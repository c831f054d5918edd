#!/usr/bin/env bash
# Plays this case. It writes what was sent, answered and run to record.txt in this folder, and exits with 1 if the rule was
# broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 it does the same without the disruption.
# It needs bin/ as the deploy file's build command leaves it, and the stand-ins of review/build.sh, which it builds if they
# are not there.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
case=$(basename "$here")

command=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' "$root/deploy/balancer.toml")
if [ -z "$command" ] || [ ! -x "$root/bin/rowanyard" ]; then
    echo "no run command, or no bin/rowanyard: run the build command of deploy/balancer.toml first"
    exit 2
fi
if [ ! -x "$root/review/bin/$case" ]; then
    bash "$root/review/build.sh" || exit 2
fi

"$root/review/bin/$case" -root "$root" -dir "$here" -command "$command" &
player=$!
trap 'kill "$player" 2>/dev/null; wait "$player"; exit 2' INT TERM HUP
wait "$player"
result=$?
case $result in
0 | 1) exit "$result" ;;
*) exit 2 ;;
esac
