#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
# Writes to record.txt in this folder what was sent, answered and run.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
test -x "$root/target/review/evac" && test -x "$root/target/release/vanepath-platform-proxy" || {
    echo "build first: the command of deploy/system.toml, then review/build.sh" >&2
    exit 2
}
"$root/target/review/evac" "$root" "$folder/record.txt"
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
