// deploy/gateway.json: what a gateway does beyond the platform's configuration. A section a subsystem.
#pragma once

#include <rapidjson/document.h>

#include <optional>
#include <string>
#include <vector>

#include "app/json_schema.h"
#include "levels/levels.h"
#include "telemetry/log.h"

namespace cedarring::app {

/// The file's text against which sections are read: kept, since some need a service's classes to be
/// understood.
struct GatewayFile {
  std::string name = "deploy/gateway.json";
  rapidjson::Document json{rapidjson::kObjectType};
  telemetry::LogConfig log;
  std::string admin_socket;  // empty: off

  [[nodiscard]] const rapidjson::Value* section(const char* key) const { return member(json, key); }
};

/// Reads the text; throws ConfigError.
GatewayFile parse_gateway_file(const std::string& text, const std::string& name);

/// The section `levels` for the service of a front (`postgresql` or `mysql`); nothing where it is off there.
/// Throws ConfigError with the pointer of what does not fit.
std::optional<levels::Config> levels_of(const GatewayFile& file, const std::string& front,
                                        const levels::ServiceInfo& service,
                                        const std::vector<std::string>& tenants);

/// The effective ladder as JSON, in the form of the file.
std::string levels_json(const levels::Config& config, const levels::ServiceInfo& service,
                        const std::vector<std::string>& tenants);

}  // namespace cedarring::app
