// What the gateway is told at its start.
#pragma once

#include <stdexcept>
#include <string>
#include <vector>

#include "memory/broker.h"
#include "wire/dns.h"

namespace cedarring::app {

/// A configuration that cannot be used; the text names the key.
class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// One front: where it listens, and the hosts behind it.
struct ServiceConfig {
  std::string listen, discovery;
  std::string zone_updates;  // where dynamic updates of the zone are taken; empty: there is no zone
  wire::dns::Zone zone;
  memory::MemberList known;
  Settings settings;
  std::vector<memory::Budget> budgets;
  std::vector<std::string> zones;
};

struct Config {
  std::string name;
  std::size_t memory_mb = 192, sockets = 1024;
  ServiceConfig platform;
  std::optional<ServiceConfig> mysql;  // absent: off
};

/// Reads the JSON; throws ConfigError.
Config parse_config(const std::string& json);
/// Reads the MySQL front's file: nothing if it is off. What it leaves out is as on the platform.
std::optional<ServiceConfig> parse_mysql_config(const std::string& json, const ServiceConfig& platform);
/// Reads the file of ROUTER_CONFIG; at the start the other variables win over what it holds, at a reload the
/// file wins: it is newer. The MySQL front's file is deploy/mysql.json, or what CEDARRING_MYSQL names.
Config load_config(bool reload = false);

}  // namespace cedarring::app
