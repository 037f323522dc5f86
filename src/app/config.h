// The configuration of a gateway process: the platform's file (ROUTER_CONFIG), environment variables and the
// gateway file.
#pragma once

#include <string>
#include <vector>

#include "app/contracts_config.h"
#include "app/gateway_file.h"
#include "app/json_schema.h"
#include "broker/broker.h"
#include "wire/dns.h"

namespace cedarring::app {

/// The configuration of one front and the hosts behind it.
struct ServiceConfig {
  std::string listen;              // address of the client listener
  std::string discovery;           // address of discovery; empty: the host list does not come from there
  std::string dns_update_address;  // where dynamic updates of the DNS zone are received; empty: no DNS zone
  wire::dns::Zone dns_zone;        // lists the hosts
  broker::MemberList known_hosts;  // the list in force until discovery sends one
  Settings settings;
  std::vector<broker::TenantBudget> budgets;
  std::vector<std::string> zone_names;       // of the hosts' availability zones, in the order of ZoneId
  std::optional<levels::Config> levels;      // absent: off
  std::optional<ContractsConfig> contracts;  // absent: off
  /// The service information that the contracts gate needs.
  [[nodiscard]] contracts::ServiceInfo contracts_service_info() const;
  /// The service information that the levels gate needs.
  [[nodiscard]] levels::ServiceInfo levels_service_info() const;

 private:
  /// `salt`: a constant of the gate, so that its random numbers differ from those of the router and of other
  /// gates.
  [[nodiscard]] gates::ServiceInfo gate_service_info(std::uint64_t salt) const;
};

/// The configuration of the process.
struct Config {
  std::string name;           // of this gateway
  std::string platform_text;  // the platform's file as it was read
  std::string control;        // address of the control endpoint; empty: none
  std::size_t memory_mb = 192;
  std::size_t max_descriptors = 1024;  // limit on open file descriptors
  ServiceConfig platform;              // the PostgreSQL front
  std::optional<ServiceConfig> mysql;  // the MySQL front; absent: off
  GatewayFile gateway_file;            // empty if there is none
  std::vector<std::string> warnings;   // to be logged once
};

/// Parses the platform's configuration file; throws ConfigError.
Config parse_config(const std::string& json);
/// Checks whether a file may replace the one in force. Throws ConfigError, with the key, if it lacks a key of
/// that file, or if a deadline or the number of attempts is not above 0. Classes may be added and removed,
/// but need the keys that all previous classes have.
void check_reload(const std::string& in_force, const std::string& candidate);
/// Parses the configuration of the MySQL front; nothing if it is disabled. Omitted settings are those of the
/// platform. Throws ConfigError.
std::optional<ServiceConfig> parse_mysql_config(const std::string& json, const ServiceConfig& platform);
/// Reads the file named by ROUTER_CONFIG, environment variables and the gateway file. At the start
/// ROUTER_DISCOVERY overrides the file; at a reload the file, being newer, takes precedence. The gateway file
/// is `file`, or the one named by CEDARRING_GATEWAY, or deploy/gateway.json. The former separate file of the
/// MySQL front is read if CEDARRING_MYSQL names it or the gateway file has no section `mysql`. `in_force`: at
/// a reload the text of the configuration in force, for check_reload(). Throws ConfigError.
Config load_config(bool reload = false, const std::string& file = "", const std::string& in_force = "");
/// Parses the gateway file into a configuration that holds the platform's settings already. Throws
/// ConfigError.
void read_gateway_file(const std::string& text, const std::string& name, Config& config);

}  // namespace cedarring::app
