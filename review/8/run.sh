#!/usr/bin/env bash
# Runs case 8. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."

cases=target/review-2/cases
if [ ! -x "$cases" ] || [ ! -x target/ivyspar-platform ]; then
    echo "build first: the build line of deploy/system.toml, then review/build-2.sh"
    exit 2
fi
timeout -k 2 117 "$cases" 8 "$here/record.txt"
case $? in
0) exit 0 ;;
1) exit 1 ;;
*) exit 2 ;;
esac
