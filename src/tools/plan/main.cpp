// cedarring plan: prints whether the contracts of a file fit the fleet, which limits bind, and the cheapest
// reductions.
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

constexpr int exit_fits = 0;
constexpr int exit_error = 1;
constexpr int exit_does_not_fit = 3;
constexpr int exit_bad_certificate = 4;
// Smaller values count as zero.
constexpr double min_printed_shadow_price = 1e-9;
constexpr double min_printed_reduction = 1e-6;  // requests a second

/// The contents of a file. Throws app::ConfigError if it cannot be read.
std::string read_file(const std::string& path) {
  std::ifstream in(path);
  std::stringstream text;
  text << in.rdbuf();
  if (!in) throw app::ConfigError(path + ": cannot be read");
  return text.str();
}

/// JSON schema of the fleet file.
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

/// Reads a fleet file that matches the schema. Groups without a share get an equal one.
Fleet fleet_of(const rapidjson::Document& json) {
  Fleet fleet;
  if (json.HasMember("use")) fleet.max_utilization = json["use"].GetDouble();
  if (json.HasMember("lose_host")) fleet.survive_replica_loss = json["lose_host"].GetBool();
  if (json.HasMember("lose_room")) fleet.survive_room_loss = json["lose_room"].GetBool();
  for (const auto& entry : json["groups"].GetArray()) {
    Group group;
    group.name = entry["name"].GetString();
    group.share = entry.HasMember("share") ? entry["share"].GetDouble() : 1.0 / json["groups"].Size();
    for (const auto& host : entry["hosts"].GetArray()) {
      group.cores.push_back(host["cores"].GetDouble());
      group.rooms.push_back(host.HasMember("room") ? host["room"].GetString() : "");
    }
    fleet.groups.push_back(std::move(group));
  }
  return fleet;
}

/// Solves and prints the plan for the contracts in `gateway_file`. Returns the exit code of the program.
int print_plan(const std::string& gateway_file, const std::string& platform_file,
               const std::string& fleet_file) {
  auto config = app::parse_config(read_file(platform_file));
  app::read_gateway_file(read_file(gateway_file), gateway_file, config);
  std::vector<std::string> tenants;
  for (const auto& budget : config.platform.budgets) tenants.push_back(budget.tenant);
  const auto service = config.platform.contracts_service_info();
  const auto parsed = app::parse_contracts(config.gateway_file, "postgresql", service, tenants);
  if (!parsed) throw app::ConfigError(gateway_file + ": /contracts: expected contracts in force, found none");
  const auto fleet_json = app::parse_object(read_file(fleet_file), fleet_file);
  app::check_schema(fleet_json, fleet_schema, fleet_file);
  const auto fleet = fleet_of(fleet_json);

  std::vector<ContractedRate> rates;
  for (const auto& team : parsed->contracts.teams)
    for (std::size_t c = 0; c < team.classes.size(); ++c) {
      if (!team.classes[c]) continue;
      const auto& request_class = service.classes[c];
      const auto cost = fleet_json["cost_ms"].FindMember(request_class.name.c_str());
      if (cost == fleet_json["cost_ms"].MemberEnd())
        throw app::config_error_at(fleet_file, "/cost_ms", "a cost of the class " + request_class.name,
                                   "none");
      for (const bool closure : {false, true}) {
        const auto& terms =
            closure && team.classes[c]->closure ? *team.classes[c]->closure : team.classes[c]->usual;
        const bool primary =
            request_class.freshness == Freshness::write || request_class.freshness == Freshness::fresh;
        rates.push_back({team.name, request_class.name, closure ? "around closure" : "usual", terms.rate,
                         cost->value.GetDouble(), primary, terms.weight * request_class.value});
      }
    }
  const auto limits = capacity_limits(rates, fleet);
  const auto solution = solve(rates, limits);
  std::printf("%zu contracted rates, %zu capacity limits: %s\n", rates.size(), limits.size(),
              solution.fits ? "all rates fit together" : "the rates exceed the capacity");
  for (std::size_t j = 0; j < limits.size(); ++j)
    if (solution.usage[j] > limits[j].cores || solution.shadow_prices[j] > min_printed_shadow_price)
      std::printf(
          "  binding limit: %s: %.2f cores needed, %.2f available (%+.2f); one more core would lower the "
          "penalty of the reductions by %.3f\n",
          limits[j].description.c_str(), solution.usage[j], limits[j].cores,
          solution.usage[j] - limits[j].cores, solution.shadow_prices[j]);
  for (const auto& line : find_conflicts(rates, limits, solution)) std::printf("  %s\n", line.c_str());
  for (std::size_t i = 0; i < rates.size(); ++i)
    if (solution.reductions[i] > min_printed_reduction)
      std::printf("  cheapest reduction: %s, %s, %s: by %.2f of %.2f requests a second\n",
                  rates[i].team.c_str(), rates[i].class_name.c_str(), rates[i].period.c_str(),
                  solution.reductions[i], rates[i].rate);
  const bool certified = solution.certificate_error.empty();
  std::printf("certificate: %s\n", certified ? "verified, the primal and the dual objective are equal"
                                             : solution.certificate_error.c_str());
  return certified ? (solution.fits ? exit_fits : exit_does_not_fit) : exit_bad_certificate;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Checks whether the contracts in a gateway's file fit the fleet", "cedarring plan");
  std::string gateway_file;
  std::string platform_file;
  std::string fleet_file;
  app.add_option("FILE", gateway_file, "The gateway file, with a section contracts")->required();
  app.add_option("--platform", platform_file, "The platform's configuration, for classes and tenants")
      ->envname("ROUTER_CONFIG")
      ->required();
  app.add_option("--fleet", fleet_file,
                 "JSON file with the groups, their hosts and the cost of a request by class")
      ->required();
  app.footer(
      "Exits with 0 if all contracts fit, 3 if they do not, 4 if the solution cannot be verified, 1 if a "
      "file "
      "is invalid");
  CLI11_PARSE(app, argc, argv);
  try {
    return print_plan(gateway_file, platform_file, fleet_file);
  } catch (const std::exception& error) {
    std::cerr << "cedarring plan: " << error.what() << '\n';
    return exit_error;
  }
}
