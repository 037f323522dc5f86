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

const Json& need(const Json& object, const char* key) {
  const auto it = object.FindMember(key);
  if (it == object.MemberEnd()) throw ConfigError(std::string(key) + ": missing");
  return it->value;
}
std::string need_text(const Json& object, const char* key) {
  const auto& v = need(object, key);
  if (!v.IsString()) throw ConfigError(std::string(key) + ": not a string");
  return v.GetString();
}

/// A plain value as the simulator's wire spells it: no space or comma inside.
std::string plain(const Json& v) {
  if (v.IsNull()) return "";
  if (v.IsString()) {
    std::string text(v.GetString(), v.GetStringLength());
    for (auto& c : text)
      if (c == ' ' || c == ',') c = '_';
    return text;
  }
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  v.Accept(writer);
  return buffer.GetString();
}

/// The settings as path=value pairs: the form that the adapter's parser reads.
void flatten(const Json& v, const std::string& path, std::string& out) {
  if (v.IsObject()) {
    for (const auto& m : v.GetObject())
      flatten(m.value, path.empty() ? m.name.GetString() : path + "." + m.name.GetString(), out);
    return;
  }
  if (v.IsArray() && !v.Empty() && v[0].IsObject()) {
    out += path + ".count=" + std::to_string(v.Size()) + " ";
    for (rapidjson::SizeType i = 0; i < v.Size(); ++i) flatten(v[i], path + "." + std::to_string(i), out);
    return;
  }
  std::string value;
  if (v.IsArray())
    for (const auto& item : v.GetArray()) value += (value.empty() ? "" : ",") + plain(item);
  else
    value = plain(v);
  out += path + "=" + value + " ";
}

/// Shares are over all gateways together: each keeps its part.
std::vector<broker::TenantBudget> read_budgets(const Json& settings, std::uint32_t gateways) {
  std::vector<broker::TenantBudget> budgets;
  const auto realms = settings.FindMember("realms");
  if (realms == settings.MemberEnd()) return budgets;
  if (!realms->value.IsArray()) throw ConfigError("settings.realms: not a list");
  for (const auto& r : realms->value.GetArray()) {
    if (!r.IsObject()) throw ConfigError("settings.realms: not a list of objects");
    broker::TenantBudget b;
    b.tenant = need_text(r, "name");
    const auto quota = r.FindMember("quota_per_s");
    if (quota != r.MemberEnd() && quota->value.IsNumber()) b.per_second = quota->value.GetDouble() / gateways;
    budgets.push_back(std::move(b));
  }
  return budgets;
}

/// Each limit has its own least: the platform hands out 32 MB, and a floor meant for descriptors must not end
/// us.
std::size_t limit(const Json& root, const char* key, double least, std::size_t fallback) {
  const auto limits = root.FindMember("limits");
  if (limits == root.MemberEnd() || !limits->value.IsObject()) return fallback;
  const auto it = limits->value.FindMember(key);
  if (it == limits->value.MemberEnd()) return fallback;
  if (!it->value.IsNumber() || it->value.GetDouble() < least || it->value.GetDouble() > 1e6)
    throw ConfigError("limits." + std::string(key) + ": out of range");
  return static_cast<std::size_t>(it->value.GetDouble());
}

void check_address(const std::string& key, const std::string& address) {
  if (!wire::valid_address(address)) throw ConfigError(key + ": not an address: " + address);
}

std::string read_file(const char* path) {
  std::ifstream in(path);
  std::stringstream text;
  text << in.rdbuf();
  if (!in) throw ConfigError(std::string("cannot read ") + path);
  return text.str();
}

}  // namespace

namespace {

rapidjson::Document parse_json(const std::string& json, const char* what) {
  rapidjson::Document d;
  d.Parse<rapidjson::kParseIterativeFlag>(json.c_str());
  if (d.HasParseError() || !d.IsObject()) throw ConfigError(std::string(what) + ": not a JSON object");
  return d;
}

std::uint64_t read_seed(const Json& root) {
  const auto& seed = need(root, "seed");
  if (seed.IsUint64()) return seed.GetUint64();
  if (!seed.IsString()) throw ConfigError("seed: not a number");
  const std::string text = seed.GetString();
  char* end = nullptr;
  const auto number = std::strtoull(text.c_str(), &end, 16);
  if (text.empty() || *end != '\0') throw ConfigError("seed: not a number");
  return number;
}

/// What cannot be guessed without breaking a promise: with a default in its place a class might be repeated
/// that may not be, read older than it allows, or a host be sent to for longer than it may.
void check_whole(const Json& settings, const std::string& path) {
  const auto has = [&](const Json& object, const std::string& at, std::initializer_list<const char*> keys) {
    for (const auto* key : keys)
      if (object.FindMember(key) == object.MemberEnd()) throw ConfigError(path + at + key + ": missing");
  };
  const auto part = [&](const char* key) -> const Json& {
    has(settings, "settings.", {key});
    const auto& v = settings[key];
    if (!v.IsObject()) throw ConfigError(path + "settings." + key + ": not an object");
    return v;
  };
  has(settings, "settings.", {"classes", "registry_mode"});
  const auto& classes = settings["classes"];
  if (!classes.IsArray() || classes.Empty())
    throw ConfigError(path + "settings.classes: not a list of classes");
  for (rapidjson::SizeType i = 0; i < classes.Size(); ++i) {
    const auto at = "settings.classes[" + std::to_string(i) + "].";
    if (!classes[i].IsObject()) throw ConfigError(path + at + ": not an object");
    has(classes[i], at, {"name", "aim", "deadline", "effect"});
    const auto& effect = classes[i]["effect"];
    if (effect.IsString() && std::string_view(effect.GetString()) == "idempotency_key")
      has(classes[i], at, {"group", "window"});
  }
  has(part("limits"), "settings.limits.", {"send_cap"});
  has(part("guarantees"), "settings.guarantees.",
      {"stop_sending_within", "tip_multiple", "tip_after", "cold"});
  const auto& specifics = part("specifics");
  has(specifics, "settings.specifics.", {"needs_by_class", "checks"});
  const auto& needs = specifics["needs_by_class"];
  if (!needs.IsArray() || needs.Size() != classes.Size())
    throw ConfigError(path + "settings.specifics.needs_by_class: not one for each class");
}

/// The list of hosts and the settings, where they are given.
void read_service(const Json& root, std::uint64_t seed, const std::string& path, ServiceConfig& c) {
  if (const auto known = root.FindMember("known"); known != root.MemberEnd() && !known->value.IsNull()) {
    const auto list = wire::parse_members(plain(known->value));
    if (!list) throw ConfigError(path + "known: not a list");
    c.known = *list;
  }
  const auto settings = root.FindMember("settings");
  if (settings == root.MemberEnd()) return;
  if (!settings->value.IsObject()) throw ConfigError(path + "settings: not an object");
  check_whole(settings->value, path);
  std::string facts;
  flatten(settings->value, "", facts);
  Time base{};  // positions on sockets are Unix times: nothing is counted from it here
  c.zones.clear();
  try {
    c.settings = parse_settings(facts, seed, "", c.zones, base);
    c.settings.late_refusal_costs =
        true;  // PROTOCOL: refused after half its time and never sent costs 0.3 of its worth
    check(c.settings);
  } catch (const std::exception& e) {
    throw ConfigError(path + "settings." + e.what() + ": bad value");
  }
  c.budgets = read_budgets(settings->value, c.settings.instance_count);
}

}  // namespace

Config parse_config(const std::string& json) {
  const auto d = parse_json(json, "config");
  Config c;
  c.text = json;
  c.name = need_text(d, "name");
  c.platform.listen = need_text(d, "listen");
  c.platform.discovery = need_text(d, "discovery");
  if (const auto it = d.FindMember("control"); it != d.MemberEnd() && !it->value.IsNull())
    c.control = need_text(d, "control");
  c.memory_mb = limit(d, "memory_mb", 16, c.memory_mb);
  c.sockets = limit(d, "sockets", 64, c.sockets);
  need(d, "settings");
  read_service(d, read_seed(d), "", c.platform);
  return c;
}

namespace {

void check_keys(const Json& before, const Json& after, const std::string& path);

/// Objects in a list, such as classes: each needs what all of those before had.
void check_items(const Json& before, const Json& after, const std::string& path) {
  rapidjson::Document common;
  common.CopyFrom(before[0], common.GetAllocator());
  for (const auto& item : before.GetArray()) {
    if (!item.IsObject()) return;
    for (auto it = common.MemberBegin(); it != common.MemberEnd();)
      it = item.HasMember(it->name) ? std::next(it) : common.EraseMember(it);
  }
  for (rapidjson::SizeType i = 0; i < after.Size(); ++i)
    check_keys(common, after[i], path + "[" + std::to_string(i) + "]");
}

void check_keys(const Json& before, const Json& after, const std::string& path) {
  if (before.IsObject()) {
    if (!after.IsObject()) throw ConfigError(path + ": not an object");
    for (const auto& m : before.GetObject()) {
      const auto at = (path.empty() ? "" : path + ".") + m.name.GetString();
      const auto it = after.FindMember(m.name);
      if (it == after.MemberEnd()) throw ConfigError(at + ": missing");
      // What hosts there are is discovery's to tell: it is no form to keep to.
      if (at != "known.servers") check_keys(m.value, it->value, at);
    }
  } else if (before.IsArray()) {
    if (!after.IsArray()) throw ConfigError(path + ": not a list");
    if (!before.Empty() && before[0].IsObject()) check_items(before, after, path);
  }
}

void above_zero(const Json& object, const char* key, const std::string& path, bool whole) {
  const auto it = object.FindMember(key);
  if (it == object.MemberEnd()) return;
  const auto& v = it->value;
  const bool fits =
      v.IsNumber() && v.GetDouble() > 0 && (!whole || v.GetDouble() == std::floor(v.GetDouble()));
  if (!fits)
    throw ConfigError(path + key + (whole ? ": not a whole number above 0" : ": not a number above 0"));
}

}  // namespace

void check_successor(const std::string& in_force, const std::string& next) {
  const auto before = parse_json(in_force, "config"), after = parse_json(next, "config");
  check_keys(before, after, "");
  const auto settings = after.FindMember("settings");
  if (settings == after.MemberEnd() || !settings->value.IsObject()) return;
  if (const auto limits = settings->value.FindMember("limits");
      limits != settings->value.MemberEnd() && limits->value.IsObject())
    above_zero(limits->value, "send_cap", "settings.limits.", true);
  const auto classes = settings->value.FindMember("classes");
  if (classes == settings->value.MemberEnd() || !classes->value.IsArray()) return;
  for (rapidjson::SizeType i = 0; i < classes->value.Size(); ++i)
    if (classes->value[i].IsObject())
      above_zero(classes->value[i], "deadline", "settings.classes[" + std::to_string(i) + "].", false);
}

std::optional<ServiceConfig> parse_mysql_config(const std::string& json, const ServiceConfig& platform) {
  const auto d = parse_json(json, "mysql");
  const auto& enabled = need(d, "enabled");
  if (!enabled.IsBool()) throw ConfigError("mysql.enabled: not true or false");
  if (!enabled.GetBool()) return std::nullopt;
  auto c = platform;
  c.listen = need_text(d, "listen");
  check_address("mysql.listen", c.listen);
  c.discovery.clear();
  if (d.HasMember("discovery")) c.discovery = need_text(d, "discovery");
  if (!c.discovery.empty()) check_address("mysql.discovery", c.discovery);
  c.known = {};
  if (const auto dns = d.FindMember("dns"); dns != d.MemberEnd()) {
    if (!dns->value.IsObject()) throw ConfigError("mysql.dns: not an object");
    c.zone_updates = need_text(dns->value, "listen");
    if (!wire::is_loopback(c.zone_updates)) throw ConfigError("mysql.dns.listen: not a loopback address");
    std::string error;
    if (!wire::dns::parse_zone(read_file(need_text(dns->value, "zone_file").c_str()),
                               need_text(dns->value, "origin"), c.zone, error))
      throw ConfigError("mysql.dns.zone_file: " + error);
    c.known = wire::dns::members_of(c.zone, 1);
    c.discovery.clear();
  }
  read_service(d, platform.settings.seed + 1, "mysql.", c);
  return c;
}

gates::ServiceInfo ServiceConfig::for_gate(std::uint64_t salt) const {
  gates::ServiceInfo s;
  s.classes = settings.classes;
  s.tenants = budgets.size();
  s.max_retry_after = settings.max_retry_after;
  s.retry_after_allowed = settings.retry_after_allowed;
  s.seed = settings.seed ^ salt;  // neither the router's own draws nor another gate's
  return s;
}

levels::ServiceInfo ServiceConfig::for_levels() const { return for_gate(0x6c6576656c73ULL); }

contracts::ServiceInfo ServiceConfig::for_contracts() const { return for_gate(0x7465726d73ULL); }

void read_gateway_file(const std::string& text, const std::string& name, Config& c) {
  c.file = parse_gateway_file(text, name);
  if (const auto* mysql = c.file.section("mysql")) {
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
    mysql->Accept(writer);
    try {
      c.mysql = parse_mysql_config(buffer.GetString(), c.platform);
    } catch (const ConfigError& e) {
      throw ConfigError(name + ": /mysql: " + e.what());
    }
  }
}

namespace {

void read_levels(Config& c) {
  const auto read = [&](ServiceConfig& service, const char* front) {
    std::vector<std::string> tenants;
    for (const auto& b : service.budgets) tenants.push_back(b.tenant);
    service.levels = levels_of(c.file, front, service.for_levels(), tenants);
    service.contracts = parse_contracts(c.file, front, service.for_contracts(), tenants);
  };
  read(c.platform, "postgresql");
  if (c.mysql) read(*c.mysql, "mysql");
}

}  // namespace

Config load_config(bool reload, const std::string& file, const std::string& in_force) {
  const char* path = std::getenv("ROUTER_CONFIG");
  if (!path) throw ConfigError("ROUTER_CONFIG: not set");
  const auto text = read_file(path);
  if (!in_force.empty()) check_successor(in_force, text);
  auto c = parse_config(text);
  const auto variable = [](const char* name, std::string& value) {
    if (const char* text = std::getenv(name); text && *text) value = text;
  };
  variable("ROUTER_NAME", c.name);
  variable("ROUTER_LISTEN", c.platform.listen);
  variable("ROUTER_CONTROL", c.control);
  if (!reload) variable("ROUTER_DISCOVERY", c.platform.discovery);
  check_address("listen", c.platform.listen);
  check_address("discovery", c.platform.discovery);
  if (!c.control.empty()) check_address("control", c.control);
  std::string gateway = "deploy/gateway.json";
  const bool named = !file.empty() || std::getenv("CEDARRING_GATEWAY");
  variable("CEDARRING_GATEWAY", gateway);
  if (!file.empty()) gateway = file;
  // One that was named has to be there; the usual one need not.
  if (named || std::ifstream(gateway)) read_gateway_file(read_file(gateway.c_str()), gateway, c);
  // Who names the MySQL front's own file of before means it; else it is read where nothing has taken its
  // place.
  std::string mysql = "deploy/mysql.json";
  variable("CEDARRING_MYSQL", mysql);
  if ((std::getenv("CEDARRING_MYSQL") || !c.file.section("mysql")) && std::ifstream(mysql)) {
    c.mysql = parse_mysql_config(read_file(mysql.c_str()), c.platform);
    c.notes.push_back("the MySQL front's own file is read; its place is now the section mysql of " + gateway);
  }
  read_levels(c);
  return c;
}

}  // namespace cedarring::app
