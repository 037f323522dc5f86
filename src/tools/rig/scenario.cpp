#include "tools/rig/scenario.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>

#include "app/json_schema.h"

namespace cedarring::rig {
namespace {

constexpr double microseconds_per_second = 1e6;
constexpr double full_load_utilization = 0.92;  // of the hosts' cores at load 1
constexpr std::uint64_t seeds_per_scenario =
    1000;  // gateways of seed s use the seeds from s * seeds_per_scenario

/// JSON schema of a scenario file.
constexpr const char* schema = R"({
  "type": "object", "additionalProperties": false, "required": ["name"],
  "definitions": {
    "pick": {"type": "object", "additionalProperties": false, "required": ["of"], "properties": {
      "of": {"enum": ["gateways", "hosts", "primary", "discovery"]},
      "zone": {"type": "string"},
      "numbers": {"type": "array", "minItems": 1, "items": {"type": "integer", "minimum": 0}},
      "share": {"type": "number", "minimum": 0, "maximum": 1}}}
  },
  "properties": {
    "name": {"type": "string", "pattern": "^[a-z0-9-]{1,40}$"},
    "seed": {"type": "integer", "minimum": 0},
    "gateways": {"type": "integer", "minimum": 1, "maximum": 500},
    "groups": {"type": "integer", "minimum": 1, "maximum": 100},
    "members": {"type": "integer", "minimum": 1, "maximum": 9},
    "zones": {"type": "array", "minItems": 1, "maxItems": 9, "items": {"type": "string", "pattern": "^[a-z0-9-]{1,20}$"}},
    "seconds": {"type": "number", "minimum": 1, "maximum": 600},
    "warm_up_s": {"type": "number", "minimum": 0, "maximum": 60},
    "load": {"type": "number", "minimum": 0.001, "maximum": 5},
    "ramp": {"type": "number", "minimum": 0.1, "maximum": 10},
    "takeover_s": {"type": "number", "minimum": 0.1, "maximum": 60},
    "list_late_s": {"type": "number", "minimum": 0, "maximum": 30},
    "front_late_s": {"type": "number", "minimum": 0, "maximum": 30},
    "cold_s": {"type": "number", "minimum": 0, "maximum": 120},
    "cold_from": {"type": "number", "minimum": 0.01, "maximum": 1},
    "memory_mb": {"type": "integer", "minimum": 32, "maximum": 192},
    "sockets": {"type": "integer", "minimum": 256, "maximum": 1024},
    "cores": {"type": "integer", "minimum": 1, "maximum": 64},
    "room": {"type": "integer", "minimum": 1, "maximum": 1000},
    "speed": {"type": "number", "minimum": 0.01, "maximum": 1000},
    "checks": {"type": "boolean"},
    "connections": {"type": "integer", "minimum": 0, "maximum": 100000},
    "handshake_ms": {"type": "number", "minimum": 0, "maximum": 1000},
    "peers": {"type": "boolean"},
    "leaving": {"type": "number", "minimum": 0, "maximum": 1},
    "probe_price": {"type": "number", "minimum": 0, "maximum": 10},
    "gateway_file": {"type": "object"},
    "served_least": {"type": "number", "minimum": 0, "maximum": 1},
    "faults": {"type": "array", "maxItems": 200, "items": {
      "type": "object", "additionalProperties": false, "required": ["at_s", "do", "on"], "properties": {
        "at_s": {"type": "number", "minimum": 0, "maximum": 600},
        "do": {"enum": ["kill", "term", "stop", "hup", "upgrade", "slow", "fail", "silent", "lag", "drain", "cut", "delay",
                        "refuse", "break", "spoil", "late", "hurry", "mute", "tear", "loss", "twice", "disorder"]},
        "on": {"$ref": "#/definitions/pick"},
        "to": {"$ref": "#/definitions/pick"},
        "for_s": {"type": "number", "minimum": 0, "maximum": 600},
        "factor": {"type": "number", "minimum": 0, "maximum": 10000},
        "reset": {"type": "boolean"},
        "way": {"enum": ["both", "there", "back"]}}}}
  }
})";

/// Words for the faults in a scenario file, in the order of FaultKind.
constexpr const char* fault_words[] = {
    "kill",  "term",   "stop",  "hup",   "upgrade", "slow",  "fail", "silent", "lag",  "drain", "cut",
    "delay", "refuse", "break", "spoil", "late",    "hurry", "mute", "tear",   "loss", "twice", "disorder"};

Duration to_duration(double seconds) {
  return Duration(static_cast<std::int64_t>(seconds * microseconds_per_second));
}
std::int64_t to_ms(Duration duration) { return duration.count() / 1000; }

/// Parses a target; `pointer` is its JSON pointer, for errors.
Target parse_target(const rapidjson::Value& json, const std::string& file, const std::string& pointer,
                    const Scenario& scenario) {
  Target target;
  const std::string of = json["of"].GetString();
  target.kind = of == "gateways"  ? Target::Kind::gateways
                : of == "hosts"   ? Target::Kind::hosts
                : of == "primary" ? Target::Kind::primary
                                  : Target::Kind::discovery;
  if (const auto* zone = app::member(json, "zone")) {
    target.zone = zone->GetString();
    if (std::find(scenario.zones.begin(), scenario.zones.end(), target.zone) == scenario.zones.end())
      throw app::config_error_at(file, pointer + "/zone", "one of the zones of the scenario",
                                 app::to_excerpt(*zone));
  }
  if (const auto* numbers = app::member(json, "numbers")) {
    const int limit = target.kind == Target::Kind::gateways ? scenario.gateways
                      : target.kind == Target::Kind::hosts  ? scenario.groups * scenario.members
                                                            : scenario.groups;
    for (const auto& number : numbers->GetArray()) {
      if (number.GetInt() >= limit)
        throw app::config_error_at(file, pointer + "/numbers", "numbers below " + std::to_string(limit),
                                   app::to_excerpt(number));
      target.numbers.push_back(number.GetInt());
    }
  }
  if (const auto* share = app::member(json, "share")) target.share = share->GetDouble();
  return target;
}

/// Whether a fault can be applied to this kind of target.
bool fault_applies_to(FaultKind fault, Target::Kind kind) {
  switch (fault) {
    case FaultKind::terminate:
    case FaultKind::pause:
    case FaultKind::reload:
    case FaultKind::upgrade:
    case FaultKind::loss:
    case FaultKind::duplicate:
    case FaultKind::reorder:
    case FaultKind::cut:
    case FaultKind::delay:
      return kind == Target::Kind::gateways;
    case FaultKind::stall_discovery:
    case FaultKind::truncate_list:
    case FaultKind::refuse:
      return kind == Target::Kind::discovery;
    case FaultKind::kill:
      return kind != Target::Kind::discovery;
    case FaultKind::silent:
      return kind != Target::Kind::gateways;
    default:
      return kind == Target::Kind::hosts || kind == Target::Kind::primary;
  }
}

}  // namespace

Scenario parse_scenario(const std::string& text, const std::string& file) {
  const auto document = app::parse_object(text, file);
  app::check_schema(document, schema, file);
  Scenario scenario;
  const auto reference = lab::reference_deployment();
  scenario.classes = reference.classes;
  scenario.tenants = reference.tenants;
  scenario.name = document["name"].GetString();
  const auto number = [&](const char* key, double default_value) {
    const auto* value = app::member(document, key);
    return value ? value->GetDouble() : default_value;
  };
  scenario.seed = static_cast<std::uint64_t>(number("seed", 1));
  scenario.gateways = static_cast<int>(number("gateways", scenario.gateways));
  scenario.groups = static_cast<int>(number("groups", scenario.groups));
  scenario.members = static_cast<int>(number("members", scenario.members));
  if (const auto* zones = app::member(document, "zones")) {
    scenario.zones.clear();
    for (const auto& zone : zones->GetArray()) scenario.zones.emplace_back(zone.GetString());
  }
  scenario.run_time = to_duration(number("seconds", 10));
  scenario.warm_up = to_duration(number("warm_up_s", 2));
  scenario.load = number("load", scenario.load);
  scenario.ramp = number("ramp", scenario.ramp);
  scenario.takeover = to_duration(number("takeover_s", 2));
  scenario.discovery_delay = to_duration(number("list_late_s", 0.5));
  scenario.balancer_delay = to_duration(number("front_late_s", 1));
  scenario.warm_up_duration = to_duration(number("cold_s", 14));
  scenario.cold_capacity_share = number("cold_from", scenario.cold_capacity_share);
  scenario.memory_mb = static_cast<int>(number("memory_mb", scenario.memory_mb));
  scenario.sockets = static_cast<int>(number("sockets", scenario.sockets));
  scenario.host.cores = static_cast<int>(number("cores", scenario.host.cores));
  scenario.host.max_requests = static_cast<int>(number("room", scenario.host.max_requests));
  scenario.host.speed = number("speed", scenario.host.speed);
  if (const auto* peers = app::member(document, "peers")) scenario.peer_links = peers->GetBool();
  scenario.client_exit_share = number("leaving", 0);
  if (const auto* checks = app::member(document, "checks"))
    scenario.host.checks_staleness = checks->GetBool();
  scenario.host.max_connections = static_cast<int>(number("connections", 0));
  scenario.host.handshake_work = to_duration(number("handshake_ms", 0) / 1000);
  scenario.probe_cost = number("probe_price", scenario.probe_cost);
  scenario.min_value_served = number("served_least", 0);
  if (scenario.warm_up >= scenario.run_time)
    throw app::config_error_at(file, "/warm_up_s", "a value below the key seconds",
                               std::to_string(number("warm_up_s", 2)));
  if (const auto* gateway_file = app::member(document, "gateway_file")) {
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
    gateway_file->Accept(writer);
    scenario.gateway_file = buffer.GetString();
  }
  if (const auto* faults = app::member(document, "faults"))
    for (rapidjson::SizeType i = 0; i < faults->Size(); ++i) {
      const auto& json = (*faults)[i];
      const auto pointer = "/faults/" + std::to_string(i);
      Fault fault;
      fault.at = to_duration(json["at_s"].GetDouble());
      fault.kind = static_cast<FaultKind>(
          std::find(std::begin(fault_words), std::end(fault_words), std::string(json["do"].GetString())) -
          std::begin(fault_words));
      fault.target = parse_target(json["on"], file, pointer + "/on", scenario);
      if (!fault_applies_to(fault.kind, fault.target.kind))
        throw app::config_error_at(
            file, pointer + "/on/of",
            "a target that the fault '" + std::string(json["do"].GetString()) + "' applies to",
            app::to_excerpt(json["on"]["of"]));
      const bool datagram_fault = fault.kind == FaultKind::loss || fault.kind == FaultKind::duplicate ||
                                  fault.kind == FaultKind::reorder;
      const bool link_fault =
          fault.kind == FaultKind::cut || fault.kind == FaultKind::delay || datagram_fault;
      if (link_fault != json.HasMember("to"))
        throw app::config_error_at(file, pointer + "/to",
                                   std::string(link_fault ? "the other end of the links" : "no such key") +
                                       ", since the fault '" + json["do"].GetString() +
                                       (link_fault ? "' affects links" : "' does not affect links"),
                                   link_fault ? "none" : app::to_excerpt(json["to"]));
      if (link_fault) {
        fault.link_end = parse_target(json["to"], file, pointer + "/to", scenario);
        if (datagram_fault && fault.link_end.kind != Target::Kind::gateways)
          throw app::config_error_at(file, pointer + "/to/of", "gateways, as only they send datagrams",
                                     app::to_excerpt(json["to"]["of"]));
        if (fault.link_end.kind == Target::Kind::gateways && !scenario.peer_links)
          throw app::config_error_at(file, "/peers", "true, since a fault affects links between gateways",
                                     "none");
      }
      if (const auto* seconds = app::member(json, "for_s"))
        fault.duration = to_duration(seconds->GetDouble());
      if (const auto* factor = app::member(json, "factor")) fault.factor = factor->GetDouble();
      if (const auto* reset = app::member(json, "reset")) fault.reset = reset->GetBool();
      if (const auto* way = app::member(json, "way")) {
        const std::string direction = way->GetString();
        fault.forward = direction != "back";
        fault.reverse = direction != "there";
      }
      if (fault.at >= scenario.run_time)
        throw app::config_error_at(file, pointer + "/at_s", "a time before the end of the run",
                                   app::to_excerpt(json["at_s"]));
      scenario.faults.push_back(fault);
    }
  return scenario;
}

double mean_work_seconds(const Scenario& scenario) {
  double mean = 0;
  double shares = 0;
  for (const auto& class_spec : scenario.classes) {
    // The mean of a uniform distribution is half the sum of its bounds.
    mean += class_spec.share * static_cast<double>((class_spec.min_work + class_spec.max_work).count()) /
            (2 * microseconds_per_second);
    shares += class_spec.share;
  }
  return mean / shares;
}

double full_load_rate(const Scenario& scenario) {
  return full_load_utilization * scenario.groups * scenario.members * scenario.host.cores *
         scenario.host.speed / mean_work_seconds(scenario);
}

std::string gateway_config(const Scenario& scenario, int gateway, const std::string& listen,
                           const std::string& control, const std::string& discovery,
                           const std::string& initial_list) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  const auto write_string = [&](const char* key, const std::string& value) {
    writer.Key(key);
    writer.String(value.c_str());
  };
  const auto write_integer = [&](const char* key, std::int64_t value) {
    writer.Key(key);
    writer.Int64(value);
  };
  const auto write_number = [&](const char* key, double value) {
    writer.Key(key);
    writer.Double(value);
  };
  const auto write_true = [&](const char* key) {
    writer.Key(key);
    writer.Bool(true);
  };
  writer.StartObject();
  write_string("name", "g" + std::to_string(gateway));
  write_string("listen", listen);
  write_string("control", control);
  write_string("discovery", discovery);
  char seed[17];
  std::snprintf(seed, sizeof seed, "%llx",
                static_cast<unsigned long long>(scenario.seed * seeds_per_scenario +
                                                static_cast<std::uint64_t>(gateway)));
  write_string("seed", seed);
  writer.Key("known");
  writer.RawValue(initial_list.data(), initial_list.size(), rapidjson::kObjectType);
  writer.Key("limits");
  writer.StartObject();
  write_integer("memory_mb", scenario.memory_mb);
  write_integer("sockets", scenario.sockets);
  writer.EndObject();
  writer.Key("settings");
  writer.StartObject();
  write_string("az", scenario.zones[static_cast<std::size_t>(gateway) % scenario.zones.size()]);
  writer.Key("zones");
  writer.StartArray();
  for (const auto& zone : scenario.zones) writer.String(zone.c_str());
  writer.EndArray();
  write_integer("balancers", scenario.gateways);
  write_integer("position", gateway);
  write_string("registry_mode", "subscribe");
  writer.Key("classes");
  writer.StartArray();
  for (const auto& class_spec : scenario.classes) {
    const auto& request_class = class_spec.request_class;
    writer.StartObject();
    write_string("name", request_class.name);
    write_integer("aim", to_ms(request_class.latency_target));
    write_integer("deadline", to_ms(request_class.deadline));
    write_number("importance", request_class.value);
    write_number("late_worth", request_class.late_value);
    write_string("effect", request_class.idempotency == Idempotency::safe    ? "read_like"
                           : request_class.idempotency == Idempotency::keyed ? "idempotency_key"
                                                                             : "non_idempotent");
    write_string("group", "cell");  // the scope of deduplication: hosts of the same replica group
    write_integer("window", to_ms(request_class.dedup_window));
    writer.EndObject();
  }
  writer.EndArray();
  writer.Key("realms");
  writer.StartArray();
  for (const auto& tenant : scenario.tenants) {
    writer.StartObject();
    write_string("name", tenant.name);
    write_number("quota_per_s", full_load_rate(scenario) * tenant.share / scenario.gateways);
    writer.EndObject();
  }
  writer.EndArray();
  writer.Key("specifics");
  writer.StartObject();
  write_string("checks", scenario.host.checks_staleness ? "bounce" : "none");
  write_string("list_role", "trailing");
  write_true("stamps");
  write_string("token_mode", "brought");
  writer.Key("class_bound");
  writer.StartArray();
  for (const auto& class_spec : scenario.classes) {
    const auto& request_class = class_spec.request_class;
    writer.Int64(request_class.freshness == Freshness::bounded ? to_ms(request_class.staleness_bound) : 0);
  }
  writer.EndArray();
  writer.Key("needs_by_class");
  writer.StartArray();
  for (const auto& class_spec : scenario.classes) {
    const auto freshness = class_spec.request_class.freshness;
    writer.String(freshness == Freshness::write     ? "mutate"
                  : freshness == Freshness::fresh   ? "strong"
                  : freshness == Freshness::session ? "causal"
                  : freshness == Freshness::bounded ? "lag_bound"
                                                    : "eventual");
  }
  writer.EndArray();
  writer.EndObject();
  writer.Key("limits");
  writer.StartObject();
  write_true("may_probe");
  write_true("cancel");
  write_true("retry_after");
  write_integer("max_retry_after", 500);
  write_integer("send_cap", 6);
  write_integer("connect_timeout", 250);
  write_integer("idle_close", 15000);
  writer.EndObject();
  writer.Key("guarantees");
  writer.StartObject();
  write_integer("ask_within", 10000);
  write_integer("cold", to_ms(scenario.warm_up_duration));
  write_number("cold_from", scenario.cold_capacity_share);
  write_number("tip_multiple", 2);
  write_integer("tip_after", 2000);
  write_integer("stop_sending_within", 1000);
  writer.EndObject();
  writer.Key("prices");
  writer.StartObject();
  write_number("probe", scenario.probe_cost);
  writer.EndObject();
  write_integer("quantum", 5);
  writer.EndObject();
  writer.EndObject();
  return buffer.GetString();
}

}  // namespace cedarring::rig
