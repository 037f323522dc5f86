// A service for tests over real sockets: stand-in hosts, discovery and the gateway program with its control
// endpoint.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "support/stand_in.h"

namespace cedarring::test {

#if defined(__SANITIZE_ADDRESS__)
// A sanitizer uses memory of its own, so the bounds on resident memory do not apply.
inline constexpr bool memory_bounds_apply = false;
#else
inline constexpr bool memory_bounds_apply = true;
#endif

/// A primary, a replica, discovery and the gateway program with its control endpoint. `sockets`: limit on the
/// program's connections; `memory_mb`: on its memory.
struct Service {
  PgStandIn primary;
  PgStandIn replica;
  std::vector<std::string> members;
  std::unique_ptr<Discovery> discovery;
  std::string config;
  std::unique_ptr<GatewayProcess> program;
  explicit Service(const std::string& sockets = "1024", const std::string& memory_mb = "192") {
    primary.primary = true;
    members = {member("p", primary.address(), true), member("r/1", replica.address(), false)};
    discovery = std::make_unique<Discovery>(list_of(1, members));
    config = with_key(config_json(discovery->address(), list_of(1, members)), R"("control":"127.0.0.1:0")");
    config = replaced(config, R"("memory_mb":192,"sockets":1024)",
                      R"("memory_mb":)" + memory_mb + R"(,"sockets":)" + sockets);
    program = std::make_unique<GatewayProcess>(config);
  }
  HttpReply call(const std::string& method, const std::string& path) const {
    return test::call(program->control(), method, path);
  }
  long metric_value(const std::string& name) const {
    return test::metric_value(call("GET", "/-/metrics").body, name);
  }
};

}  // namespace cedarring::test
