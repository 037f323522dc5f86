#include "app/contracts_config.h"

#include <algorithm>

namespace cedarring::app {
namespace {

using Json = rapidjson::Value;

/// What is left out is as in `base`.
contracts::Terms terms_of(const Json& v, contracts::Terms base) {
  if (const auto* x = member(v, "rate")) base.rate = x->GetDouble();
  if (const auto* x = member(v, "burst")) base.burst = x->GetDouble();
  if (const auto* x = member(v, "wanted_ms")) base.wanted = std::chrono::milliseconds(x->GetInt64());
  if (const auto* x = member(v, "share")) base.share = x->GetDouble();
  if (const auto* x = member(v, "weight")) base.weight = x->GetDouble();
  if (const auto* x = member(v, "beyond")) {
    const std::string word = x->GetString();
    base.beyond = word == "refuse"  ? contracts::Beyond::refuse
                  : word == "count" ? contracts::Beyond::count
                                    : contracts::Beyond::borrow;
  }
  return base;
}

Calendar calendar_of(const Json& v, const std::string& file) {
  static constexpr const char* days[] = {"sun", "mon", "tue", "wed", "thu", "fri", "sat"};
  Calendar c;
  c.zone = v["zone"].GetString();
  if (!zone_known(c.zone))
    throw config_error_at(file, "/contracts/calendar/zone", "a zone by its IANA name that this machine has",
                          to_excerpt(v["zone"]));
  for (const auto& item : v["closures"].GetArray()) {
    Closure one;
    const std::string at = item["at"].GetString();
    one.hour = std::stoi(at.substr(0, 2)), one.minute = std::stoi(at.substr(3, 2));
    if (one.hour > 23)
      throw config_error_at(file, "/contracts/calendar/closures/" + std::to_string(c.closures.size()) + "/at",
                            "a time of day", to_excerpt(item["at"]));
    if (const auto* list = member(item, "days")) {
      one.days = 0;
      for (const auto& day : list->GetArray())
        for (unsigned i = 0; i < 7; ++i)
          if (std::string(days[i]) == day.GetString()) one.days |= 1U << i;
    }
    if (const auto* x = member(item, "lead_s")) one.lead = std::chrono::seconds(x->GetInt64());
    if (const auto* x = member(item, "trail_s")) one.trail = std::chrono::seconds(x->GetInt64());
    c.closures.push_back(one);
  }
  return c;
}

}  // namespace

std::optional<ContractsConfig> contracts_of(const GatewayFile& file, const std::string& front,
                                            const contracts::ServiceInfo& service,
                                            const std::vector<std::string>& tenants) {
  const auto* section = file.section("contracts");
  if (!section) return std::nullopt;
  const std::string mode = (*section)["mode"].GetString();
  if (mode == "off") return std::nullopt;
  if (const auto* fronts = member(*section, "fronts"))
    if (std::none_of(fronts->Begin(), fronts->End(), [&](const Json& f) { return front == f.GetString(); }))
      return std::nullopt;
  ContractsConfig c;
  auto& t = c.terms;
  t.mode = mode == "enforce" ? contracts::Mode::enforce : contracts::Mode::count;
  if (const auto* x = member(*section, "gateways")) t.gateways = x->GetUint();
  if (const auto* x = member(*section, "part_most")) t.part_most = x->GetDouble();
  if (const auto* x = member(*section, "part_memory_ms"))
    t.part_memory = std::chrono::milliseconds(x->GetInt64());
  if (const auto* x = member(*section, "window_ms")) t.window = std::chrono::milliseconds(x->GetInt64());
  if (const auto* x = member(*section, "retry_share")) t.retry_share = x->GetDouble();
  if (const auto* x = member(*section, "retry_burst")) t.retry_burst = x->GetDouble();
  if (const auto* x = member(*section, "calendar")) c.calendar = calendar_of(*x, file.name);
  if (const auto* x = member(*section, "default")) t.fallback = terms_of(*x, {});
  const auto& teams = (*section)["teams"];
  for (rapidjson::SizeType i = 0; i < teams.Size(); ++i) {
    const auto at = "/contracts/teams/" + std::to_string(i);
    contracts::Team team;
    team.name = teams[i]["name"].GetString();
    const auto& names = teams[i]["tenants"];
    for (rapidjson::SizeType k = 0; k < names.Size(); ++k) {
      const auto it = std::find(tenants.begin(), tenants.end(), std::string(names[k].GetString()));
      if (it == tenants.end())
        throw config_error_at(file.name, at + "/tenants/" + std::to_string(k), "a tenant of the settings",
                              to_excerpt(names[k]));
      team.tenants.push_back(static_cast<std::int32_t>(it - tenants.begin()));
    }
    team.classes.resize(service.classes.size());
    if (const auto* classes = member(teams[i], "classes"))
      for (const auto& m : classes->GetObject()) {
        const auto it = std::find_if(service.classes.begin(), service.classes.end(),
                                     [&](const RequestClass& k) { return k.name == m.name.GetString(); });
        if (it == service.classes.end())
          throw config_error_at(file.name, at + "/classes/" + m.name.GetString(), "a class of the settings",
                                "another name");
        contracts::ClassTerms terms;
        contracts::Terms base;
        base.wanted = it->latency_target;
        terms.usual = terms_of(m.value, base);
        if (const auto* closure = member(m.value, "closure")) terms.closure = terms_of(*closure, terms.usual);
        team.classes[static_cast<std::size_t>(it - service.classes.begin())] = terms;
      }
    t.teams.push_back(std::move(team));
  }
  if (const auto flaw = contracts::find_config_issue(t, service))
    throw ConfigError(file.name + ": /contracts" + flaw->where + ": " + flaw->what);
  return c;
}

}  // namespace cedarring::app
