#!/bin/bash
# run-case.sh CASE_FOLDER: runs one case of the second review; see standins.h for the exit codes.
set -u
folder=$(cd "$1" && pwd) || exit 2
cd "$(dirname "$0")/../.." || exit 2
program="build-review-2/case-$(basename "$folder")"
command=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' deploy/balancer.toml)
if [ ! -x build/cedarring ] || [ ! -x "$program" ] || [ -z "$command" ]; then
  echo "build first: the deploy file's build command, then review/build-2.sh" >&2
  exit 2
fi
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
mkdir "$work/tmpdir"
# The case ends all processes that it has started; a gateway also ends with the case's own process.
timeout --signal=KILL 115 "$program" "$command" "$folder" "$work"
status=$?
[ $status -le 2 ] || status=2
exit $status
