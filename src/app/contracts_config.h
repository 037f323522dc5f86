// The section `contracts` of the gateway's file.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "app/calendar.h"
#include "app/gateway_file.h"
#include "contracts/contracts.h"

namespace cedarring::app {

struct ContractsConfig {
  contracts::Config terms;  // its closures are filled in from the calendar as time goes on
  Calendar calendar;
};

/// For the service of a front; nothing where it is off there. Throws ConfigError with the pointer of what
/// does not fit.
std::optional<ContractsConfig> contracts_of(const GatewayFile& file, const std::string& front,
                                            const contracts::ServiceInfo& service,
                                            const std::vector<std::string>& tenants);

}  // namespace cedarring::app
