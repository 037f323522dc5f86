// Parses the section `contracts` of the gateway's configuration file.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "app/calendar.h"
#include "app/gateway_file.h"
#include "contracts/contracts.h"

namespace cedarring::app {

/// The parsed section.
struct ContractsConfig {
  contracts::Config contracts;  // without closures: the runner computes them from the calendar over time
  Calendar calendar;
};

/// The contracts for the service of one front end; empty if they are off there. Throws ConfigError with the
/// JSON pointer of an invalid value.
std::optional<ContractsConfig> parse_contracts(const GatewayFile& file, const std::string& front_end,
                                               const contracts::ServiceInfo& service,
                                               const std::vector<std::string>& tenants);

}  // namespace cedarring::app
