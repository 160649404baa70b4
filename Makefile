# Entry points for people and CI; the build itself is CMake.
BUILD ?= build
JOBS ?= $(shell nproc)

# Lets clones in other folders use the same compiler cache.
export CCACHE_BASEDIR := $(CURDIR)
export CCACHE_NOHASHDIR := 1

.PHONY: all deps build demo test format lint clean

all: build

# Installs the declared packages, only when one is missing.
deps:
	@scripts/install-packages.sh

$(BUILD)/build.ninja: CMakeLists.txt | deps
	cmake -S . -B $(BUILD) -G Ninja -DHICKORYGAP_WARNINGS_AS_ERRORS=ON

build: $(BUILD)/build.ninja
	cmake --build $(BUILD) -j $(JOBS)

demo: build
	scripts/demo.sh $(BUILD)

test: build
	scripts/check-format.sh
	scripts/run-linter.sh $(BUILD)
	scripts/run-tests.sh $(BUILD)

# Rewrites the sources in the project's format.
format: deps
	scripts/list-sources.sh | xargs clang-format -i

clean:
	rm -rf $(BUILD)
