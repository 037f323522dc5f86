#include "app/config.h"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <cmath>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "router/settings_parser.h"
#include "wire/connection.h"
#include "wire/discovery.h"

namespace cedarring::app {
namespace {

using Json = rapidjson::Value;

constexpr double min_memory_mb = 16;
constexpr double min_descriptors = 64;
constexpr double max_limit = 1e6;  // largest value of each limit

/// The member of that key. Throws ConfigError if it is missing.
const Json& require(const Json& object, const char* key) {
  const auto it = object.FindMember(key);
  if (it == object.MemberEnd()) throw ConfigError(std::string(key) + ": missing");
  return it->value;
}
std::string require_string(const Json& object, const char* key) {
  const auto& value = require(object, key);
  if (!value.IsString()) throw ConfigError(std::string(key) + ": must be a string");
  return value.GetString();
}

/// A scalar in the form of the settings parser. Spaces and commas, which separate values there, are replaced
/// inside strings.
std::string to_setting_value(const Json& value) {
  if (value.IsNull()) return "";
  if (value.IsString()) {
    std::string text(value.GetString(), value.GetStringLength());
    for (auto& c : text)
      if (c == ' ' || c == ',') c = '_';
    return text;
  }
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  value.Accept(writer);
  return buffer.GetString();
}

/// Appends the settings as path=value pairs, the input of parse_settings().
void flatten(const Json& json, const std::string& path, std::string& out) {
  if (json.IsObject()) {
    for (const auto& member : json.GetObject())
      flatten(member.value, path.empty() ? member.name.GetString() : path + "." + member.name.GetString(),
              out);
    return;
  }
  if (json.IsArray() && !json.Empty() && json[0].IsObject()) {
    out += path + ".count=" + std::to_string(json.Size()) + " ";
    for (rapidjson::SizeType i = 0; i < json.Size(); ++i)
      flatten(json[i], path + "." + std::to_string(i), out);
    return;
  }
  std::string value;
  if (json.IsArray())
    for (const auto& item : json.GetArray()) value += (value.empty() ? "" : ",") + to_setting_value(item);
  else
    value = to_setting_value(json);
  out += path + "=" + value + " ";
}

/// The budgets of the tenants. Quotas apply to all gateways together; each gateway enforces its share.
std::vector<broker::TenantBudget> read_budgets(const Json& settings, std::uint32_t gateways) {
  std::vector<broker::TenantBudget> budgets;
  const auto realms = settings.FindMember("realms");
  if (realms == settings.MemberEnd()) return budgets;
  if (!realms->value.IsArray()) throw ConfigError("settings.realms: must be a list");
  for (const auto& realm : realms->value.GetArray()) {
    if (!realm.IsObject()) throw ConfigError("settings.realms: must be a list of objects");
    broker::TenantBudget budget;
    budget.tenant = require_string(realm, "name");
    const auto quota = realm.FindMember("quota_per_s");
    if (quota != realm.MemberEnd() && quota->value.IsNumber())
      budget.per_second = quota->value.GetDouble() / gateways;
    budgets.push_back(std::move(budget));
  }
  return budgets;
}

/// Reads a key of `limits`. Each key has its own minimum: the platform grants 32 MB, and the minimum for
/// descriptors must not reject that.
std::size_t read_limit(const Json& root, const char* key, double minimum, std::size_t fallback) {
  const auto limits = root.FindMember("limits");
  if (limits == root.MemberEnd() || !limits->value.IsObject()) return fallback;
  const auto it = limits->value.FindMember(key);
  if (it == limits->value.MemberEnd()) return fallback;
  if (!it->value.IsNumber() || it->value.GetDouble() < minimum || it->value.GetDouble() > max_limit)
    throw ConfigError("limits." + std::string(key) + ": must be a number from " +
                      std::to_string(std::llround(minimum)) + " to " +
                      std::to_string(std::llround(max_limit)));
  return static_cast<std::size_t>(it->value.GetDouble());
}

void check_address(const std::string& key, const std::string& address) {
  if (!wire::valid_address(address))
    throw ConfigError(key + ": must be an IPv4 address and port, such as 127.0.0.1:7000; found '" + address +
                      "'");
}

std::string read_file(const char* path) {
  std::ifstream in(path);
  std::stringstream text;
  text << in.rdbuf();
  if (!in) throw ConfigError(std::string("cannot read the file ") + path);
  return text.str();
}

rapidjson::Document parse_json(const std::string& json, const char* file_kind) {
  rapidjson::Document document;
  document.Parse<rapidjson::kParseIterativeFlag>(json.c_str());
  if (document.HasParseError() || !document.IsObject())
    throw ConfigError(std::string(file_kind) + ": the configuration is not a valid JSON object");
  return document;
}

std::uint64_t read_seed(const Json& root) {
  const auto& seed = require(root, "seed");
  if (seed.IsUint64()) return seed.GetUint64();
  if (!seed.IsString())
    throw ConfigError("seed: must be an unsigned integer or a string of hexadecimal digits");
  const std::string text = seed.GetString();
  char* end = nullptr;
  const auto number = std::strtoull(text.c_str(), &end, 16);
  if (text.empty() || *end != '\0')
    throw ConfigError("seed: must be an unsigned integer or a string of hexadecimal digits");
  return number;
}

/// Checks the keys that must not be defaulted: a default could cause retries of requests that must not be
/// repeated, reads staler than their class allows, or requests to a host for longer than permitted.
void check_required_keys(const Json& settings, const std::string& path) {
  const auto require_keys = [&](const Json& object, const std::string& at,
                                std::initializer_list<const char*> keys) {
    for (const auto* key : keys)
      if (object.FindMember(key) == object.MemberEnd()) throw ConfigError(path + at + key + ": missing");
  };
  const auto require_object = [&](const char* key) -> const Json& {
    require_keys(settings, "settings.", {key});
    const auto& value = settings[key];
    if (!value.IsObject()) throw ConfigError(path + "settings." + key + ": must be an object");
    return value;
  };
  require_keys(settings, "settings.", {"classes", "registry_mode"});
  const auto& classes = settings["classes"];
  if (!classes.IsArray() || classes.Empty())
    throw ConfigError(path + "settings.classes: must be a list of at least one class");
  for (rapidjson::SizeType i = 0; i < classes.Size(); ++i) {
    const auto class_path = "settings.classes[" + std::to_string(i) + "]";
    if (!classes[i].IsObject()) throw ConfigError(path + class_path + ": must be an object");
    const auto at = class_path + ".";
    require_keys(classes[i], at, {"name", "aim", "deadline", "effect"});
    const auto& effect = classes[i]["effect"];
    if (effect.IsString() && std::string_view(effect.GetString()) == "idempotency_key")
      require_keys(classes[i], at, {"group", "window"});
  }
  require_keys(require_object("limits"), "settings.limits.", {"send_cap"});
  require_keys(require_object("guarantees"), "settings.guarantees.",
               {"stop_sending_within", "tip_multiple", "tip_after", "cold"});
  const auto& specifics = require_object("specifics");
  require_keys(specifics, "settings.specifics.", {"needs_by_class", "checks"});
  const auto& requirements = specifics["needs_by_class"];
  if (!requirements.IsArray() || requirements.Size() != classes.Size())
    throw ConfigError(path +
                      "settings.specifics.needs_by_class: must be a list with one entry for each class");
}

/// Reads the list of hosts and the settings, if present. `path` precedes the key in error messages.
void read_service(const Json& root, std::uint64_t seed, const std::string& path, ServiceConfig& config) {
  if (const auto known = root.FindMember("known"); known != root.MemberEnd() && !known->value.IsNull()) {
    const auto list = wire::parse_members(to_setting_value(known->value));
    if (!list) throw ConfigError(path + "known: must be a member list in the form that discovery sends");
    config.known_hosts = *list;
  }
  const auto settings = root.FindMember("settings");
  if (settings == root.MemberEnd()) return;
  if (!settings->value.IsObject()) throw ConfigError(path + "settings: must be an object");
  check_required_keys(settings->value, path);
  std::string settings_text;
  flatten(settings->value, "", settings_text);
  Time base_time{};  // unused: positions on sockets are Unix times
  config.zone_names.clear();
  try {
    config.settings = parse_settings(settings_text, seed, "", config.zone_names, base_time);
    // A request refused after half its deadline without having been sent costs 0.3 of its value.
    config.settings.late_refusal_costs = true;
    check(config.settings);
  } catch (const std::invalid_argument& e) {
    // The text is a key: with its path from parse_settings(), without it from check().
    throw ConfigError(path + "settings." + e.what() + ": the value is invalid");
  } catch (const std::exception& e) {
    throw ConfigError(path + "settings: " + e.what());
  }
  config.budgets = read_budgets(settings->value, config.settings.instance_count);
}

}  // namespace

Config parse_config(const std::string& json) {
  const auto document = parse_json(json, "config");
  Config config;
  config.platform_text = json;
  config.name = require_string(document, "name");
  config.platform.listen = require_string(document, "listen");
  config.platform.discovery = require_string(document, "discovery");
  if (const auto it = document.FindMember("control"); it != document.MemberEnd() && !it->value.IsNull())
    config.control = require_string(document, "control");
  config.memory_mb = read_limit(document, "memory_mb", min_memory_mb, config.memory_mb);
  config.max_descriptors = read_limit(document, "sockets", min_descriptors, config.max_descriptors);
  require(document, "settings");
  read_service(document, read_seed(document), "", config.platform);
  return config;
}

namespace {

/// Throws ConfigError with the path if `after` lacks a key of `before`, or has another kind of value where
/// `before` has an object or a list.
void check_keys_kept(const Json& before, const Json& after, const std::string& path);

/// Objects in a list, such as classes: each needs the keys that all previous items have.
void check_list_items(const Json& before, const Json& after, const std::string& path) {
  rapidjson::Document common;
  common.CopyFrom(before[0], common.GetAllocator());
  for (const auto& item : before.GetArray()) {
    if (!item.IsObject()) return;
    for (auto it = common.MemberBegin(); it != common.MemberEnd();)
      it = item.HasMember(it->name) ? std::next(it) : common.EraseMember(it);
  }
  for (rapidjson::SizeType i = 0; i < after.Size(); ++i)
    check_keys_kept(common, after[i], path + "[" + std::to_string(i) + "]");
}

void check_keys_kept(const Json& before, const Json& after, const std::string& path) {
  if (before.IsObject()) {
    if (!after.IsObject()) throw ConfigError(path + ": must be an object, as in the configuration in force");
    for (const auto& member : before.GetObject()) {
      const auto at = (path.empty() ? "" : path + ".") + member.name.GetString();
      const auto it = after.FindMember(member.name);
      if (it == after.MemberEnd()) throw ConfigError(at + ": missing");
      // The hosts come from discovery and may change.
      if (at != "known.servers") check_keys_kept(member.value, it->value, at);
    }
  } else if (before.IsArray()) {
    if (!after.IsArray()) throw ConfigError(path + ": must be a list, as in the configuration in force");
    if (!before.Empty() && before[0].IsObject()) check_list_items(before, after, path);
  }
}

void check_positive(const Json& object, const char* key, const std::string& path, bool integer_only) {
  const auto it = object.FindMember(key);
  if (it == object.MemberEnd()) return;
  const auto& value = it->value;
  const bool fits = value.IsNumber() && value.GetDouble() > 0 &&
                    (!integer_only || value.GetDouble() == std::floor(value.GetDouble()));
  if (!fits)
    throw ConfigError(path + key +
                      (integer_only ? ": must be a whole number above 0" : ": must be a number above 0"));
}

}  // namespace

void check_reload(const std::string& in_force, const std::string& candidate) {
  const auto before = parse_json(in_force, "config");
  const auto after = parse_json(candidate, "config");
  check_keys_kept(before, after, "");
  const auto settings = after.FindMember("settings");
  if (settings == after.MemberEnd() || !settings->value.IsObject()) return;
  if (const auto limits = settings->value.FindMember("limits");
      limits != settings->value.MemberEnd() && limits->value.IsObject())
    check_positive(limits->value, "send_cap", "settings.limits.", true);
  const auto classes = settings->value.FindMember("classes");
  if (classes == settings->value.MemberEnd() || !classes->value.IsArray()) return;
  for (rapidjson::SizeType i = 0; i < classes->value.Size(); ++i)
    if (classes->value[i].IsObject())
      check_positive(classes->value[i], "deadline", "settings.classes[" + std::to_string(i) + "].", false);
}

std::optional<ServiceConfig> parse_mysql_config(const std::string& json, const ServiceConfig& platform) {
  const auto document = parse_json(json, "mysql");
  const auto& enabled = require(document, "enabled");
  if (!enabled.IsBool()) throw ConfigError("mysql.enabled: must be true or false");
  if (!enabled.GetBool()) return std::nullopt;
  auto config = platform;
  config.listen = require_string(document, "listen");
  check_address("mysql.listen", config.listen);
  config.discovery.clear();
  if (document.HasMember("discovery")) config.discovery = require_string(document, "discovery");
  if (!config.discovery.empty()) check_address("mysql.discovery", config.discovery);
  config.known_hosts = {};
  if (const auto dns = document.FindMember("dns"); dns != document.MemberEnd()) {
    if (!dns->value.IsObject()) throw ConfigError("mysql.dns: must be an object");
    config.dns_update_address = require_string(dns->value, "listen");
    if (!wire::is_loopback(config.dns_update_address))
      throw ConfigError("mysql.dns.listen: must be a loopback address");
    std::string error;
    if (!wire::dns::parse_zone(read_file(require_string(dns->value, "zone_file").c_str()),
                               require_string(dns->value, "origin"), config.dns_zone, error))
      throw ConfigError("mysql.dns.zone_file: the zone is invalid: " + error);
    config.known_hosts = wire::dns::member_list_of(config.dns_zone, 1);
    config.discovery.clear();
  }
  // A seed of its own, so that the two fronts draw different random numbers.
  read_service(document, platform.settings.seed + 1, "mysql.", config);
  return config;
}

namespace {

// Combined with the seed of the settings, see gate_service_info().
constexpr std::uint64_t levels_salt = 0x6c6576656c73ULL;
constexpr std::uint64_t contracts_salt = 0x7465726d73ULL;

}  // namespace

gates::ServiceInfo ServiceConfig::gate_service_info(std::uint64_t salt) const {
  gates::ServiceInfo info;
  info.classes = settings.classes;
  info.tenants = budgets.size();
  info.max_retry_after = settings.max_retry_after;
  info.retry_after_allowed = settings.retry_after_allowed;
  info.seed = settings.seed ^ salt;
  return info;
}

levels::ServiceInfo ServiceConfig::levels_service_info() const { return gate_service_info(levels_salt); }

contracts::ServiceInfo ServiceConfig::contracts_service_info() const {
  return gate_service_info(contracts_salt);
}

void read_gateway_file(const std::string& text, const std::string& name, Config& config) {
  config.gateway_file = parse_gateway_file(text, name);
  if (const auto* mysql = config.gateway_file.section("mysql")) {
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
    mysql->Accept(writer);
    try {
      config.mysql = parse_mysql_config(buffer.GetString(), config.platform);
    } catch (const ConfigError& e) {
      throw ConfigError(name + ": /mysql: " + e.what());
    }
  }
}

namespace {

/// Reads the levels and contracts of each front, which refer to its classes and tenants.
void read_gates(Config& config) {
  const auto read = [&](ServiceConfig& service, const char* front) {
    std::vector<std::string> tenants;
    for (const auto& budget : service.budgets) tenants.push_back(budget.tenant);
    service.levels = parse_levels(config.gateway_file, front, service.levels_service_info(), tenants);
    service.contracts =
        parse_contracts(config.gateway_file, front, service.contracts_service_info(), tenants);
  };
  read(config.platform, "postgresql");
  if (config.mysql) read(*config.mysql, "mysql");
}

}  // namespace

Config load_config(bool reload, const std::string& file, const std::string& in_force) {
  const char* path = std::getenv("ROUTER_CONFIG");
  if (!path) throw ConfigError("the environment variable ROUTER_CONFIG is not set");
  const auto text = read_file(path);
  if (!in_force.empty()) check_reload(in_force, text);
  auto config = parse_config(text);
  const auto override_from_environment = [](const char* name, std::string& value) {
    if (const char* text = std::getenv(name); text && *text) value = text;
  };
  override_from_environment("ROUTER_NAME", config.name);
  override_from_environment("ROUTER_LISTEN", config.platform.listen);
  override_from_environment("ROUTER_CONTROL", config.control);
  if (!reload) override_from_environment("ROUTER_DISCOVERY", config.platform.discovery);
  check_address("listen", config.platform.listen);
  check_address("discovery", config.platform.discovery);
  if (!config.control.empty()) check_address("control", config.control);
  std::string gateway_path = "deploy/gateway.json";
  const bool explicitly_named = !file.empty() || std::getenv("CEDARRING_GATEWAY");
  override_from_environment("CEDARRING_GATEWAY", gateway_path);
  if (!file.empty()) gateway_path = file;
  // A file that was named must exist; the default one is optional.
  if (explicitly_named || std::ifstream(gateway_path))
    read_gateway_file(read_file(gateway_path.c_str()), gateway_path, config);
  // The former file of the MySQL front is read if it is named explicitly, or if the gateway file has no
  // section for it.
  std::string mysql_path = "deploy/mysql.json";
  override_from_environment("CEDARRING_MYSQL", mysql_path);
  if ((std::getenv("CEDARRING_MYSQL") || !config.gateway_file.section("mysql")) &&
      std::ifstream(mysql_path)) {
    config.mysql = parse_mysql_config(read_file(mysql_path.c_str()), config.platform);
    config.warnings.push_back("the MySQL front's own file is read; move it to the section mysql of " +
                              gateway_path);
  }
  read_gates(config);
  return config;
}

}  // namespace cedarring::app
