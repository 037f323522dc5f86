#include "app/contracts_config.h"

#include <algorithm>

namespace cedarring::app {
namespace {

using Json = rapidjson::Value;

constexpr int max_hour = 23;  // not checked by the schema

contracts::BeyondPolicy beyond_policy_of(const std::string& name) {
  return name == "refuse"  ? contracts::BeyondPolicy::refuse
         : name == "count" ? contracts::BeyondPolicy::count
                           : contracts::BeyondPolicy::borrow;
}

/// Reads terms; members that are missing have their value in `base`.
contracts::Terms terms_of(const Json& json, contracts::Terms base) {
  if (const auto* value = member(json, "rate")) base.rate = value->GetDouble();
  if (const auto* value = member(json, "burst")) base.burst = value->GetDouble();
  if (const auto* value = member(json, "wanted_ms"))
    base.latency_target = std::chrono::milliseconds(value->GetInt64());
  if (const auto* value = member(json, "share")) base.in_time_share = value->GetDouble();
  if (const auto* value = member(json, "weight")) base.weight = value->GetDouble();
  if (const auto* value = member(json, "beyond")) base.beyond = beyond_policy_of(value->GetString());
  return base;
}

/// Reads the section `calendar`; `file` is named in errors.
Calendar calendar_of(const Json& json, const std::string& file) {
  static constexpr const char* day_names[] = {"sun", "mon", "tue", "wed", "thu", "fri", "sat"};
  constexpr unsigned days_per_week = 7;
  Calendar calendar;
  calendar.zone = json["zone"].GetString();
  if (!has_zone_data(calendar.zone))
    throw config_error_at(file, "/contracts/calendar/zone",
                          "the IANA name of a time zone that is installed on this machine",
                          to_excerpt(json["zone"]));
  for (const auto& item : json["closures"].GetArray()) {
    DailyClosure closure;
    const std::string time_of_day = item["at"].GetString();  // HH:MM, as the schema requires
    closure.hour = std::stoi(time_of_day.substr(0, 2));
    closure.minute = std::stoi(time_of_day.substr(3, 2));
    if (closure.hour > max_hour)
      throw config_error_at(
          file, "/contracts/calendar/closures/" + std::to_string(calendar.closures.size()) + "/at",
          "a time of day from 00:00 to 23:59", to_excerpt(item["at"]));
    if (const auto* list = member(item, "days")) {
      closure.days = 0;
      for (const auto& day : list->GetArray())
        for (unsigned i = 0; i < days_per_week; ++i)
          if (std::string(day_names[i]) == day.GetString()) closure.days |= 1U << i;
    }
    if (const auto* value = member(item, "lead_s")) closure.lead = std::chrono::seconds(value->GetInt64());
    if (const auto* value = member(item, "trail_s")) closure.trail = std::chrono::seconds(value->GetInt64());
    calendar.closures.push_back(closure);
  }
  return calendar;
}

}  // namespace

std::optional<ContractsConfig> parse_contracts(const GatewayFile& file, const std::string& front_end,
                                               const contracts::ServiceInfo& service,
                                               const std::vector<std::string>& tenants) {
  const auto* section = file.section("contracts");
  if (!section) return std::nullopt;
  const std::string mode = (*section)["mode"].GetString();
  if (mode == "off") return std::nullopt;
  if (const auto* front_ends = member(*section, "fronts"))
    if (std::none_of(front_ends->Begin(), front_ends->End(),
                     [&](const Json& name) { return front_end == name.GetString(); }))
      return std::nullopt;
  ContractsConfig result;
  auto& config = result.contracts;
  config.mode = mode == "enforce" ? contracts::Mode::enforce : contracts::Mode::count;
  if (const auto* value = member(*section, "gateways")) config.gateways = value->GetUint();
  if (const auto* value = member(*section, "part_most")) config.max_share_multiple = value->GetDouble();
  if (const auto* value = member(*section, "part_memory_ms"))
    config.share_time_constant = std::chrono::milliseconds(value->GetInt64());
  if (const auto* value = member(*section, "window_ms"))
    config.window = std::chrono::milliseconds(value->GetInt64());
  if (const auto* value = member(*section, "retry_share")) config.retry_share = value->GetDouble();
  if (const auto* value = member(*section, "retry_burst")) config.retry_burst = value->GetDouble();
  if (const auto* value = member(*section, "calendar")) result.calendar = calendar_of(*value, file.name);
  if (const auto* value = member(*section, "default")) config.default_terms = terms_of(*value, {});
  const auto& teams = (*section)["teams"];
  for (rapidjson::SizeType i = 0; i < teams.Size(); ++i) {
    const auto path = "/contracts/teams/" + std::to_string(i);
    contracts::Team team;
    team.name = teams[i]["name"].GetString();
    const auto& names = teams[i]["tenants"];
    for (rapidjson::SizeType k = 0; k < names.Size(); ++k) {
      const auto it = std::find(tenants.begin(), tenants.end(), std::string(names[k].GetString()));
      if (it == tenants.end())
        throw config_error_at(file.name, path + "/tenants/" + std::to_string(k), "a tenant of the settings",
                              to_excerpt(names[k]));
      team.tenants.push_back(static_cast<std::int32_t>(it - tenants.begin()));
    }
    team.classes.resize(service.classes.size());
    if (const auto* classes = member(teams[i], "classes"))
      for (const auto& entry : classes->GetObject()) {
        const auto it = std::find_if(
            service.classes.begin(), service.classes.end(),
            [&](const RequestClass& request_class) { return request_class.name == entry.name.GetString(); });
        if (it == service.classes.end())
          throw config_error_at(file.name, path + "/classes/" + entry.name.GetString(),
                                "a class of the settings", "'" + std::string(entry.name.GetString()) + "'");
        contracts::ClassTerms terms;
        contracts::Terms base;
        base.latency_target = it->latency_target;
        terms.usual = terms_of(entry.value, base);
        if (const auto* closure = member(entry.value, "closure"))
          terms.closure = terms_of(*closure, terms.usual);
        team.classes[static_cast<std::size_t>(it - service.classes.begin())] = terms;
      }
    config.teams.push_back(std::move(team));
  }
  if (const auto issue = contracts::find_config_issue(config, service))
    throw ConfigError(file.name + ": /contracts" + issue->path + ": " + issue->problem);
  return result;
}

}  // namespace cedarring::app
