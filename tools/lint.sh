#!/usr/bin/env bash
# Runs clang-tidy over the project's sources. A file is not checked again if it,
# every project header that it includes, the checks and its compile command are
# the same as in an earlier clean run, in this checkout or another one.
# Usage: tools/lint.sh BUILD_DIR JOBS [PATH_REGEX]
set -eu
build=$1
jobs=$2
pattern=${3:-.}
export LINT_BUILD=$build
export LINT_STAMPS=${XDG_CACHE_HOME:-$HOME/.cache}/gentianrun-lint
mkdir -p "$LINT_STAMPS"
clang-format --version >"$build/lint-version"
clang-tidy --version >>"$build/lint-version"

# Headers in the order in which the compiler finds them, without those of the
# system.
lint_one() {
  local file=$1 headers stamp
  headers=$(c++ -std=c++17 -MM -Isource -I. -Itests -Ibench/policy -Ibench/micro \
    -Itests/fault_matrix -DBOOST_ASIO_NO_DEPRECATED "$file" |
    tr -d '\\\n' | sed 's/^[^:]*://')
  # shellcheck disable=SC2086
  stamp=$LINT_STAMPS/$({
    echo "$file $headers"
    cat .clang-tidy CMakeLists.txt "$LINT_BUILD/lint-version" $headers
  } | sha256sum | cut -c1-40)
  [ -e "$stamp" ] && return 0
  if clang-tidy --quiet -p "$LINT_BUILD" \
    --extra-arg=-Wno-unknown-warning-option "$file" 2>/dev/null; then
    touch "$stamp"
    echo "checked $file" >>"$LINT_BUILD/lint-checked"
  else
    echo "lint: $file failed" >&2
    return 1
  fi
}
export -f lint_one

: >"$build/lint-checked"
find source platform tests bench -name '*.cc' | grep -E "$pattern" | sort |
  xargs -P "$jobs" -I{} bash -c 'set -eu; lint_one {}'
echo "lint: clean ($(wc -l <"$build/lint-checked") files checked," \
  "the others unchanged since a clean run)"
