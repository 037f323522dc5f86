// What the gateway is told at its start.
#pragma once

#include <stdexcept>
#include <string>
#include <vector>

#include "memory/broker.h"

namespace cedarring::app {

/// A configuration that cannot be used; the text names the key.
class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct Config {
  std::string name, listen, discovery;
  std::size_t memory_mb = 192, sockets = 1024;
  memory::MemberList known;
  Settings settings;
  std::vector<memory::Budget> budgets;
  std::vector<std::string> zones;
};

/// Reads the JSON; throws ConfigError.
Config parse_config(const std::string& json);
/// Reads the file of ROUTER_CONFIG; the other variables win over what it holds.
Config load_config();

}  // namespace cedarring::app
