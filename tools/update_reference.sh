#!/usr/bin/env bash
# Replaces the settings reference in docs/operators.md by the one of the build.
# Usage: tools/update_reference.sh BUILD_DIR
set -eu
page=docs/operators.md
kept=$(sed '/^### Operators. settings$/,$d' "$page")
{
  printf '%s\n\n' "$kept"
  "$1/gentianrun" check --reference
} >"$page.new"
mv "$page.new" "$page"
