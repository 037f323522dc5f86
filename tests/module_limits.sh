#!/bin/sh
# Fails when a file of the decision module has a line of more than 110 characters. $1: the file.
set -eu
long=$(awk 'length($0) > 110' "$1" | wc -l)
echo "$long lines over 110 characters"
[ "$long" -eq 0 ]
