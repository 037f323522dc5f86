#!/bin/bash
# Runs the tests of a build directory. Tests that the list of known failures names are run once, and their
# results are printed, but they have no part in the verdict; all others decide it.
#
#   run_tests.sh BUILD_DIR KNOWN_FAILURES_FILE
#
# An entry of the list begins with a line "NUMBER. TITLE (issue NUMBER)"; its line "tests: NAME, NAME" gives the
# full ctest names. An entry that names no issue, or a test that does not exist, fails the run.
set -euo pipefail
build_dir=$1
known_failures_file=$2

# Prints "ISSUE TEST" for each test that an entry names; "-" stands for a missing issue.
known_failures() {
  awk '
    /^[0-9]+\. / { issue = match($0, /\(issue [0-9]+\)/) ? substr($0, RSTART + 7, RLENGTH - 8) : "-" }
    /^ *tests:/ {
      sub(/^ *tests: */, "")
      count = split($0, names, /[, ]+/)
      for (i = 1; i <= count; i++) if (names[i] != "") print issue, names[i]
    }' "$known_failures_file"
}

# The regular expression that matches exactly the names on standard input.
exact_names() {
  sed 's/[][\\.^$*+?(){}|/]/\\&/g' | paste -sd '|' | sed 's/.*/^(&)$/'
}

listed=$(known_failures)
if [ -z "$listed" ]; then
  exec ctest --test-dir "$build_dir" --output-on-failure --timeout 60
fi

all_tests=$(ctest --test-dir "$build_dir" -N | sed -n 's/^ *Test *#[0-9]*: //p')
while read -r issue name; do
  if [ "$issue" = - ]; then
    echo "$known_failures_file: the entry of $name names no issue" >&2
    exit 1
  fi
  if ! grep -qxF -- "$name" <<<"$all_tests"; then
    echo "$known_failures_file: there is no test $name" >&2
    exit 1
  fi
done <<<"$listed"

names=$(cut -d ' ' -f 2 <<<"$listed" | exact_names)
while read -r issue name; do
  result=passed
  one=$(exact_names <<<"$name")
  ctest --test-dir "$build_dir" --output-on-failure --timeout 60 -R "$one" >"$build_dir/known-failure.log" 2>&1 ||
    result=failed
  echo "known failure, without a part in the verdict: $name (issue $issue): $result"
  [ "$result" = passed ] || cat "$build_dir/known-failure.log"
done <<<"$listed"
exec ctest --test-dir "$build_dir" --output-on-failure --timeout 60 -E "$names"
