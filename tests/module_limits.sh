#!/bin/sh
# Fails when the decision module has a line of more than 110 characters.
set -eu
long=$(awk 'length($0) > 110' "$1" | wc -l)
echo "$long lines over 110 characters"
[ "$long" -eq 0 ]
