// The gateway's own configuration file, deploy/gateway.json: settings beyond the platform's configuration,
// with one section for each subsystem.
#pragma once

#include <rapidjson/document.h>

#include <optional>
#include <string>
#include <vector>

#include "app/json_schema.h"
#include "levels/levels.h"
#include "telemetry/log.h"

namespace cedarring::app {

/// A parsed gateway file. The document is kept, since some sections can only be interpreted together with the
/// classes and tenants of a service.
struct GatewayFile {
  std::string name = "deploy/gateway.json";
  rapidjson::Document json{rapidjson::kObjectType};
  telemetry::LogConfig log;
  std::string admin_socket;  // path; empty: no admin socket

  /// The section with that key; null if absent.
  [[nodiscard]] const rapidjson::Value* section(const char* key) const { return member(json, key); }
};

/// Parses the text and validates it against the schema. Throws ConfigError.
GatewayFile parse_gateway_file(const std::string& text, const std::string& name);

/// Interprets the section `levels` for the service behind a front end (`postgresql` or `mysql`). Nothing if
/// levels are off there. Throws ConfigError with the JSON pointer of the invalid value.
std::optional<levels::Config> parse_levels(const GatewayFile& file, const std::string& front_end,
                                           const levels::ServiceInfo& service,
                                           const std::vector<std::string>& tenants);

/// The effective configuration as JSON, in the format of the section `levels`.
std::string levels_to_json(const levels::Config& config, const levels::ServiceInfo& service,
                           const std::vector<std::string>& tenants);

}  // namespace cedarring::app
