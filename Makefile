# Entry points for developers and CI; CMake does the build.
BUILD ?= build
JOBS ?= $(shell nproc)

# Make cache entries independent of the path of the checkout, so that clones in
# different folders share them.
export CCACHE_BASEDIR := $(CURDIR)
export CCACHE_NOHASHDIR := 1

.PHONY: all deps build demo test format lint clean

all: build

# Installs the packages of packages.txt that are missing.
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

# Formats all source files in place.
format: deps
	scripts/list-sources.sh | xargs clang-format -i

clean:
	rm -rf $(BUILD)
