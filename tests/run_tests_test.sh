#!/bin/bash
# Checks that run_tests.sh passes over exactly the listed tests. Its argument is the path of run_tests.sh.
set -euo pipefail
run_tests=$1
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cat >"$work/CTestTestfile.cmake" <<'TESTS'
add_test("Good.Passes" "true")
add_test("Bad.Fails" "false")
add_test("Bad.FailsToo" "false")
TESTS

# check NAME EXPECTED_EXIT_CODE EXPECTED_OUTPUT: runs the tests with the list on standard input.
check() {
  local code=0
  cat >"$work/known"
  bash "$run_tests" "$work" "$work/known" >"$work/out" 2>&1 || code=$?
  [ "$code" -ne 0 ] && code=1
  if [ "$code" -ne "$2" ] || ! grep -qF -- "$3" "$work/out"; then
    echo "$1: exit code $code, expected $2 and \"$3\":"
    cat "$work/out"
    exit 1
  fi
}

check "both failing tests are listed" 0 "Bad.FailsToo (issue 7): failed" <<'LIST'
1. One (issue 5)
   tests:   Bad.Fails
2. Two (issue 7)
   tests:   Bad.FailsToo, Good.Passes
LIST
check "a listed test that passes is printed" 0 "Good.Passes (issue 5): passed" <<'LIST'
1. One (issue 5)
   tests:   Bad.Fails, Bad.FailsToo, Good.Passes
LIST
check "another failing test fails the run" 1 "Bad.FailsToo" <<'LIST'
1. One (issue 5)
   tests:   Bad.Fails
LIST
check "an empty list excuses nothing" 1 "Bad.Fails" </dev/null
check "a test that does not exist" 1 "there is no test Bad.Fail" <<'LIST'
1. One (issue 5)
   tests:   Bad.Fail
LIST
check "an entry without an issue" 1 "names no issue" <<'LIST'
1. One
   tests:   Bad.Fails, Bad.FailsToo
LIST
echo "run_tests.sh passes over exactly the listed tests"
