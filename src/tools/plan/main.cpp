// cedarring plan: whether the contracts of a file fit the fleet, which limit binds, and the cheapest change.
#include <rapidjson/document.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

#include "app/config.h"
#include "tools/plan/plan.h"

namespace {

using namespace cedarring;
using namespace cedarring::plan;

std::string read(const std::string& path) {
  std::ifstream in(path);
  std::stringstream text;
  text << in.rdbuf();
  if (!in) throw app::ConfigError(path + ": cannot be read");
  return text.str();
}

constexpr const char* fleet_schema = R"({
  "type": "object", "additionalProperties": false, "required": ["groups", "cost_ms"],
  "properties": {
    "use": {"type": "number", "minimum": 0.05, "maximum": 1},
    "lose_host": {"type": "boolean"},
    "lose_room": {"type": "boolean"},
    "cost_ms": {"type": "object", "additionalProperties": {"type": "number", "minimum": 0.001}},
    "groups": {"type": "array", "minItems": 1, "items": {
      "type": "object", "additionalProperties": false, "required": ["name", "hosts"],
      "properties": {
        "name": {"type": "string"},
        "share": {"type": "number", "minimum": 0, "maximum": 1},
        "hosts": {"type": "array", "minItems": 1, "items": {
          "type": "object", "additionalProperties": false, "required": ["cores"],
          "properties": {"cores": {"type": "number", "minimum": 0.1}, "room": {"type": "string"}}}}}}}
  }
})";

Fleet fleet_of(const rapidjson::Document& d) {
  Fleet f;
  if (d.HasMember("use")) f.use = d["use"].GetDouble();
  if (d.HasMember("lose_host")) f.lose_host = d["lose_host"].GetBool();
  if (d.HasMember("lose_room")) f.lose_room = d["lose_room"].GetBool();
  for (const auto& g : d["groups"].GetArray()) {
    Group group;
    group.name = g["name"].GetString();
    group.share = g.HasMember("share") ? g["share"].GetDouble() : 1.0 / d["groups"].Size();
    for (const auto& h : g["hosts"].GetArray()) {
      group.cores.push_back(h["cores"].GetDouble());
      group.rooms.push_back(h.HasMember("room") ? h["room"].GetString() : "");
    }
    f.groups.push_back(std::move(group));
  }
  return f;
}

int plan_for(const std::string& gateway, const std::string& platform, const std::string& fleet_file) {
  auto config = app::parse_config(read(platform));
  app::read_gateway_file(read(gateway), gateway, config);
  std::vector<std::string> tenants;
  for (const auto& b : config.platform.budgets) tenants.push_back(b.tenant);
  const auto service = config.platform.for_contracts();
  const auto contracts = app::contracts_of(config.file, "postgresql", service, tenants);
  if (!contracts) throw app::ConfigError(gateway + ": /contracts: expected contracts in force, found none");
  const auto d = app::parse_object(read(fleet_file), fleet_file);
  app::check_schema(d, fleet_schema, fleet_file);
  const auto fleet = fleet_of(d);

  std::vector<Promise> promises;
  for (const auto& team : contracts->terms.teams)
    for (std::size_t c = 0; c < team.classes.size(); ++c) {
      if (!team.classes[c]) continue;
      const auto& cls = service.classes[c];
      const auto cost = d["cost_ms"].FindMember(cls.name.c_str());
      if (cost == d["cost_ms"].MemberEnd())
        throw app::config_error_at(fleet_file, "/cost_ms", "a cost of the class " + cls.name, "none");
      for (const bool closure : {false, true}) {
        const auto& terms =
            closure && team.classes[c]->closure ? *team.classes[c]->closure : team.classes[c]->usual;
        promises.push_back({team.name, cls.name, closure ? "around closure" : "usual", terms.rate,
                            cost->value.GetDouble(),
                            cls.freshness == Freshness::write || cls.freshness == Freshness::fresh,
                            terms.weight * cls.value});
      }
    }
  const auto limits = limits_of(promises, fleet);
  const auto answer = solve(promises, limits);
  std::printf("%zu promises, %zu limits: %s\n", promises.size(), limits.size(),
              answer.fits ? "all fit at once" : "they do not fit at once");
  for (std::size_t j = 0; j < limits.size(); ++j)
    if (answer.use[j] > limits[j].limit || answer.dual[j] > 1e-9)
      std::printf("  binds: %s: %.2f cores asked for, %.2f there (%+.2f); a core more saves %.3f\n",
                  limits[j].what.c_str(), answer.use[j], limits[j].limit, answer.use[j] - limits[j].limit,
                  answer.dual[j]);
  for (const auto& line : conflicts(promises, limits, answer)) std::printf("  %s\n", line.c_str());
  for (std::size_t i = 0; i < promises.size(); ++i)
    if (answer.trim[i] > 1e-6)
      std::printf("  cheapest change: %s, %s, %s: %.2f a second less of %.2f\n", promises[i].team.c_str(),
                  promises[i].cls.c_str(), promises[i].period.c_str(), answer.trim[i], promises[i].rate);
  std::printf("certificate: %s\n", answer.certificate_flaw.empty() ? "checked, trim and dual values agree"
                                                                   : answer.certificate_flaw.c_str());
  return answer.certificate_flaw.empty() ? (answer.fits ? 0 : 3) : 4;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Whether the promises of a gateway's file fit the fleet", "cedarring plan");
  std::string gateway, platform, fleet;
  app.add_option("FILE", gateway, "The gateway's file, with the section contracts")->required();
  app.add_option("--platform", platform, "The platform's configuration, for classes and tenants")
      ->envname("ROUTER_CONFIG")
      ->required();
  app.add_option("--fleet", fleet, "Groups, hosts and costs, as JSON")->required();
  app.footer("Ends with 0 where all fits, 3 where it does not, 1 for what cannot be read");
  CLI11_PARSE(app, argc, argv);
  try {
    return plan_for(gateway, platform, fleet);
  } catch (const std::exception& e) {
    std::cerr << "cedarring plan: " << e.what() << '\n';
    return 1;
  }
}
