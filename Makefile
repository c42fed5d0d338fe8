# Developer entry points. `make demo` and `make test` install what they need.
BUILD ?= build
JOBS ?= $(shell nproc)
# Objects of one checkout serve another.
export CCACHE_BASEDIR := $(CURDIR)
export CCACHE_NOHASHDIR := 1
SOURCES := $(shell find source platform tests bench -name '*.cc' -o -name '*.h' 2>/dev/null)

.PHONY: all deps build format format-check lint unit test demo bench \
        microbench fault-matrix fault-matrix-selftest sanitize clean

all: build

deps:
	@tools/install_packages.sh

build:
	@cmake -S . -B $(BUILD) -G Ninja > $(BUILD).cmake.log 2>&1 || \
	  { mkdir -p $(BUILD); cat $(BUILD).cmake.log; exit 1; }
	@mv $(BUILD).cmake.log $(BUILD)/cmake.log
	@cmake --build $(BUILD) -j $(JOBS)

format:
	@clang-format -i $(SOURCES)

format-check:
	@clang-format --dry-run --Werror $(SOURCES)
	@echo "format: clean"

lint: build
	@tools/lint.sh $(BUILD) $(JOBS)

unit: build
	@tools/run_tests.sh $(BUILD)

test: deps
	@$(MAKE) --no-print-directory format-check
	@$(MAKE) --no-print-directory build
	@$(MAKE) --no-print-directory lint
	@$(MAKE) --no-print-directory unit

demo: deps
	@$(MAKE) --no-print-directory build
	@tools/demo.sh $(BUILD)

fault-matrix: build
	@$(BUILD)/gentian_fault_matrix --output $(BUILD)/fault-matrix.jsonl

fault-matrix-selftest: build
	@$(BUILD)/gentian_fault_matrix --selftest

bench: build
	@$(BUILD)/gentian_bench $(BUILD)/bench/results.jsonl $(JOBS)

microbench: build
	@$(BUILD)/gentian_microbench

clean:
	@rm -rf $(BUILD) $(BUILD).cmake.log
