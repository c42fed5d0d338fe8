#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# Plays each of the two disruptions by itself, on a deployment of its own.
# TROUBLE=0: the same without a disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/gentianrun ] && [ -x target/review-2/case-6 ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
modes="add kill"
[ "${TROUBLE:-1}" = 0 ] && modes="none"
worst=0
: > review/6/record.txt
for mode in $modes; do
  timeout -k 5 55 target/review-2/case-6 "$folder/record" "$mode"
  code=$?
  cat "$folder/record" >> review/6/record.txt
  [ "$code" -le 1 ] || code=2
  [ "$code" -le "$worst" ] || worst=$code
done
exit "$worst"
