// What the gateway is told at its start.
#pragma once

#include <string>
#include <vector>

#include "app/contracts_config.h"
#include "app/gateway_file.h"
#include "app/json_schema.h"
#include "broker/broker.h"
#include "wire/dns.h"

namespace cedarring::app {

/// One front: where it listens, and the hosts behind it.
struct ServiceConfig {
  std::string listen, discovery;
  std::string zone_updates;  // where dynamic updates of the zone are taken; empty: there is no zone
  wire::dns::Zone zone;
  broker::MemberList known;
  Settings settings;
  std::vector<broker::TenantBudget> budgets;
  std::vector<std::string> zones;
  std::optional<levels::Config> levels;      // absent: off
  std::optional<ContractsConfig> contracts;  // absent: off
  [[nodiscard]] contracts::ServiceInfo for_contracts() const;
  /// What levels need to know of this service.
  [[nodiscard]] levels::ServiceInfo for_levels() const;

 private:
  [[nodiscard]] gates::ServiceInfo for_gate(std::uint64_t salt) const;
};

struct Config {
  std::string name;
  std::string text;     // the file as it was read
  std::string control;  // the operators' door; empty: there is none
  std::size_t memory_mb = 192, sockets = 1024;
  ServiceConfig platform;
  std::optional<ServiceConfig> mysql;  // absent: off
  GatewayFile file;                    // deploy/gateway.json; empty where there is none
  std::vector<std::string> notes;      // what is to be logged once
};

/// Reads the JSON; throws ConfigError.
Config parse_config(const std::string& json);
/// Throws ConfigError, with the key, for a file that may not take the place of the one in force: it lacks a
/// key that that one has, or a deadline or the number of attempts is no number above 0. Classes may come and
/// go: a class has to have the keys that all of before have.
void check_successor(const std::string& in_force, const std::string& next);
/// Reads the MySQL front's file: nothing if it is off. What it leaves out is as on the platform.
std::optional<ServiceConfig> parse_mysql_config(const std::string& json, const ServiceConfig& platform);
/// Reads the file of ROUTER_CONFIG; at the start the other variables win over what it holds, at a reload the
/// file wins: it is newer. What else there is to say stands in deploy/gateway.json, or what `file` or
/// CEDARRING_GATEWAY names. The MySQL front's own file of before, which CEDARRING_MYSQL names, is still read
/// where that has no section `mysql`. `in_force`: at a reload the text of the file in force, which the new
/// one must be fit to follow.
Config load_config(bool reload = false, const std::string& file = "", const std::string& in_force = "");
/// Reads the gateway's file into a configuration that holds the platform's part already.
void read_gateway_file(const std::string& text, const std::string& name, Config& config);

}  // namespace cedarring::app
