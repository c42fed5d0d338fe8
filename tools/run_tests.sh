#!/usr/bin/env bash
# Runs every test program of the build and prints one summary line.
# A test named in KNOWN-RED.txt may fail; it is printed, and it does not change
# the verdict. Entry lines there start with "test: SUITE/NAME".
set -u
build=$1
known=()
if [ -f KNOWN-RED.txt ]; then
  mapfile -t known < <(sed -n 's/^test: *//p' KNOWN-RED.txt)
fi
passed=0
failed=0
red=0
for program in "$build"/*_tests; do
  [ -x "$program" ] || continue
  output=$build/$(basename "$program").log
  "$program" --tap="$output.tap" >"$output" 2>&1
  status=$?
  name=$(basename "$program")
  total=$(grep -c -E '^(ok|not ok)' "$output.tap")
  bad=$(grep -c -E '^not ok' "$output.tap")
  if [ "$total" -eq 0 ] || { [ "$status" -ne 0 ] && [ "$bad" -eq 0 ]; }; then
    echo "$name: ended with status $status without a failing test:"
    tail -20 "$output"
    failed=$((failed + 1))
    continue
  fi
  while IFS= read -r line; do
    test=$(echo "$line" | sed -E 's/^not ok - ([^ ]+).*/\1/; s/::/\//')
    if printf '%s\n' "${known[@]:-}" | grep -qx -- "$test"; then
      echo "known red: $test"
      red=$((red + 1))
      bad=$((bad - 1))
    else
      echo "FAILED: $name $test"
    fi
  done < <(grep -E '^not ok' "$output.tap")
  [ "$bad" -gt 0 ] && grep -E 'ERR|Assertion|CRASH|FAIL' "$output" | head -40
  failed=$((failed + bad))
  passed=$((passed + total - $(grep -c -E '^not ok' "$output.tap")))
  echo "$name: $total tests"
done
[ "$red" -gt 0 ] && echo "$red known red tests, listed in KNOWN-RED.txt"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
