# Build, test, lint and run. CMake does the work; this names the usual commands.
.PHONY: all setup build test lint format run demo fleet clean

all: build

# Debian packages that the build and the tests need. As root, or with sudo in front.
GATEWAY_PACKAGES = cmake make g++ libev-dev libhttp-parser-dev rapidjson-dev libcli11-dev libspdlog-dev \
  libxxhash-dev libpcg-cpp-dev libboost-dev tzdata
TOOL_PACKAGES = libglpk-dev libboost-math-dev libboost-random-dev
TEST_PACKAGES = libgtest-dev libmariadb-dev librapidcheck-dev libbenchmark-dev spin
setup:
	dpkg -s $(GATEWAY_PACKAGES) $(TOOL_PACKAGES) $(TEST_PACKAGES) >/dev/null 2>&1 || \
	  { apt-get update && apt-get install -y --no-install-recommends $(GATEWAY_PACKAGES) $(TOOL_PACKAGES) $(TEST_PACKAGES); }

build:
	cmake -B build -DCMAKE_BUILD_TYPE=Release -DCEDARRING_BUILD_TOOLS=ON -DCEDARRING_BUILD_BENCHMARKS=ON
	cmake --build build -j4

test:
	tests/run

# What is inherited (the module, its adapter and their tests) keeps its own layout.
SOURCES = $(shell git ls-files 'src/app/*' 'src/memory/*' 'src/wire/*' 'src/telemetry/*' 'src/gates/*' \
	'src/levels/*' 'src/contracts/*' 'src/fleet/*' 'src/handover/*' 'src/tools/*' 'src/router/settings_parser.*' src/main.cpp 'tests/support/*' \
	tests/broker_test.cpp tests/codec_test.cpp tests/connection_test.cpp tests/gateway_test.cpp tests/mysql_test.cpp \
	tests/dns_test.cpp tests/service_test.cpp tests/moments_test.cpp)

lint:
	clang-format --dry-run --Werror $(SOURCES)
	cppcheck --quiet --std=c++17 --language=c++ --enable=warning,performance,portability \
	  --inline-suppr --error-exitcode=1 -I include -I src src

format:
	clang-format -i $(SOURCES)

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
