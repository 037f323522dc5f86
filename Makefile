# Build, test, lint and run. CMake does the work; this names the usual commands.
.PHONY: all setup build test lint format run demo fleet clean

all: build

# Debian packages that the build and the tests need. As root, or with sudo in front.
GATEWAY_PACKAGES = cmake make g++ libev-dev libhttp-parser-dev rapidjson-dev libcli11-dev libspdlog-dev \
  libxxhash-dev libpcg-cpp-dev libboost-dev tzdata
TOOL_PACKAGES = libglpk-dev libboost-math-dev libboost-random-dev
TEST_PACKAGES = libgtest-dev libmariadb-dev librapidcheck-dev libbenchmark-dev spin
LINT_PACKAGES = clang-format cppcheck
SETUP_PACKAGES = $(GATEWAY_PACKAGES) $(TOOL_PACKAGES) $(TEST_PACKAGES) $(LINT_PACKAGES)
setup:
	dpkg -s $(SETUP_PACKAGES) >/dev/null 2>&1 || \
	  { apt-get update && apt-get install -y --no-install-recommends $(SETUP_PACKAGES); }

build:
	cmake -B build -DCMAKE_BUILD_TYPE=Release -DCEDARRING_BUILD_TOOLS=ON -DCEDARRING_BUILD_BENCHMARKS=ON
	cmake --build build -j4

test:
	tests/run

# Every C++ file that git tracks.
CPP_FILES = $(shell git ls-files '*.cpp' '*.h')
TEST_FILES = $(filter tests/%,$(CPP_FILES))
CPPCHECK = cppcheck --quiet --std=c++17 --language=c++ --enable=warning,performance,portability \
  --inline-suppr --library=googletest --error-exitcode=1 -j4 -I include -I src

# cppcheck cannot parse every macro of the tests: files that it cannot read are no finding there.
lint:
	clang-format --dry-run --Werror $(CPP_FILES)
	$(CPPCHECK) $(filter-out $(TEST_FILES),$(CPP_FILES))
	$(CPPCHECK) --suppress=cppcheckError --suppress=syntaxError $(TEST_FILES)

format:
	clang-format -i $(CPP_FILES)

# Needs ROUTER_CONFIG, and takes ROUTER_NAME, ROUTER_LISTEN and ROUTER_DISCOVERY.
run: build
	exec build/cedarring

# Three gateways, nine hosts and a ramp on loopback, a primary lost in the middle; a minute, and a picture at the end.
demo: setup
	cmake -B build -DCMAKE_BUILD_TYPE=Release -DCEDARRING_BUILD_TOOLS=ON >/dev/null
	cmake --build build -j4 --target cedarring_gateway cedarring_rig_program
	command -v gnuplot >/dev/null || apt-get install -y --no-install-recommends gnuplot-nox || true
	rm -rf build/demo
	build/cedarring rig run deploy/rig/demo.json --live --out build/demo
	@ls build/demo/plot.svg build/demo/plot.png 2>/dev/null || echo "no picture: gnuplot is not there"

# 300 gateways as processes, 95 hosts; needs some 18,000 descriptors.
fleet: build
	build/cedarring rig run deploy/rig/fleet.json

clean:
	rm -rf build build-test
