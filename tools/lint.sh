#!/usr/bin/env bash
# Runs clang-tidy over the project's sources. A file whose preprocessed
# dependencies have not changed since its last clean run is not checked again.
# Usage: tools/lint.sh BUILD_DIR JOBS [PATH_REGEX]
set -eu
build=$1
jobs=$2
pattern=${3:-.}
stamps=$build/lint-stamps
mkdir -p "$stamps"

# One hash over the configuration, the file and all project headers keeps the
# stamp correct without a dependency scanner.
headers=$(find source tests bench -name '*.h' -print0 | sort -z |
  xargs -0 cat .clang-tidy "$build/compile_commands.json" | sha256sum)
pending=()
while IFS= read -r file; do
  stamp=$stamps/$(echo "$headers $(sha256sum "$file")" | sha256sum | cut -c1-40)
  [ -e "$stamp" ] || pending+=("$file:$stamp")
done < <(find source tests bench -name '*.cc' | grep -E "$pattern" | sort)

if [ "${#pending[@]}" -gt 0 ]; then
  printf '%s\n' "${pending[@]}" | xargs -P "$jobs" -I{} bash -c '
    file=${1%%:*} stamp=${1#*:}
    if clang-tidy --quiet -p "$2" --extra-arg=-Wno-unknown-warning-option "$file" 2>/dev/null; then
      touch "$stamp"
    else
      echo "lint: $file failed" >&2
      exit 1
    fi' _ {} "$build"
fi
echo "lint: clean (${#pending[@]} files checked)"
