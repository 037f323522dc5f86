#include "tools/rig/scenario.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>

#include "app/json_schema.h"

namespace cedarring::rig {
namespace {

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

Duration to_duration(double seconds) { return Duration(static_cast<std::int64_t>(seconds * 1e6)); }

Target parse_target(const rapidjson::Value& v, const std::string& file, const std::string& at,
                    const Scenario& scenario) {
  Target target;
  const std::string of = v["of"].GetString();
  target.kind = of == "gateways"  ? Target::Kind::gateways
                : of == "hosts"   ? Target::Kind::hosts
                : of == "primary" ? Target::Kind::primary
                                  : Target::Kind::discovery;
  if (const auto* z = app::member(v, "zone")) {
    target.zone = z->GetString();
    if (std::find(scenario.zones.begin(), scenario.zones.end(), target.zone) == scenario.zones.end())
      throw app::config_error_at(file, at + "/zone", "one of the zones", app::to_excerpt(*z));
  }
  if (const auto* n = app::member(v, "numbers")) {
    const int limit = target.kind == Target::Kind::gateways ? scenario.gateways
                      : target.kind == Target::Kind::hosts  ? scenario.groups * scenario.members
                                                            : scenario.groups;
    for (const auto& x : n->GetArray()) {
      if (x.GetInt() >= limit)
        throw app::config_error_at(file, at + "/numbers", "numbers below " + std::to_string(limit),
                                   app::to_excerpt(x));
      target.numbers.push_back(x.GetInt());
    }
  }
  if (const auto* n = app::member(v, "share")) target.share = n->GetDouble();
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
  const auto world = lab::reference_deployment();
  scenario.classes = world.classes;
  scenario.tenants = world.tenants;
  scenario.name = document["name"].GetString();
  const auto number = [&](const char* key, double default_value) {
    const auto* v = app::member(document, key);
    return v ? v->GetDouble() : default_value;
  };
  scenario.seed = static_cast<std::uint64_t>(number("seed", 1));
  scenario.gateways = static_cast<int>(number("gateways", scenario.gateways));
  scenario.groups = static_cast<int>(number("groups", scenario.groups));
  scenario.members = static_cast<int>(number("members", scenario.members));
  if (const auto* z = app::member(document, "zones")) {
    scenario.zones.clear();
    for (const auto& x : z->GetArray()) scenario.zones.emplace_back(x.GetString());
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
  if (const auto* p = app::member(document, "peers")) scenario.peer_links = p->GetBool();
  scenario.client_exit_share = number("leaving", 0);
  if (const auto* c = app::member(document, "checks")) scenario.host.checks_staleness = c->GetBool();
  scenario.host.max_connections = static_cast<int>(number("connections", 0));
  scenario.host.handshake_work = to_duration(number("handshake_ms", 0) / 1000);
  scenario.probe_cost = number("probe_price", scenario.probe_cost);
  scenario.min_value_served = number("served_least", 0);
  if (scenario.warm_up >= scenario.run_time)
    throw app::config_error_at(file, "/warm_up_s", "less than seconds",
                               std::to_string(number("warm_up_s", 2)));
  if (const auto* g = app::member(document, "gateway_file")) {
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
    g->Accept(writer);
    scenario.gateway_file = buffer.GetString();
  }
  if (const auto* faults = app::member(document, "faults"))
    for (rapidjson::SizeType i = 0; i < faults->Size(); ++i) {
      const auto& v = (*faults)[i];
      const auto at = "/faults/" + std::to_string(i);
      Fault fault;
      fault.at = to_duration(v["at_s"].GetDouble());
      fault.kind = static_cast<FaultKind>(
          std::find(std::begin(fault_words), std::end(fault_words), std::string(v["do"].GetString())) -
          std::begin(fault_words));
      fault.target = parse_target(v["on"], file, at + "/on", scenario);
      if (!fault_applies_to(fault.kind, fault.target.kind))
        throw app::config_error_at(file, at + "/on/of",
                                   "a target of '" + std::string(v["do"].GetString()) + "'",
                                   app::to_excerpt(v["on"]["of"]));
      const bool datagram_fault = fault.kind == FaultKind::loss || fault.kind == FaultKind::duplicate ||
                                  fault.kind == FaultKind::reorder;
      const bool link_fault =
          fault.kind == FaultKind::cut || fault.kind == FaultKind::delay || datagram_fault;
      if (link_fault != v.HasMember("to"))
        throw app::config_error_at(file, at + "/to", link_fault ? "the hosts of the link" : "none",
                                   link_fault ? "none" : "one");
      if (link_fault) {
        fault.link_end = parse_target(v["to"], file, at + "/to", scenario);
        if (datagram_fault && fault.link_end.kind != Target::Kind::gateways)
          throw app::config_error_at(file, at + "/to/of", "gateways, as only they send datagrams",
                                     app::to_excerpt(v["to"]["of"]));
        if (fault.link_end.kind == Target::Kind::gateways && !scenario.peer_links)
          throw app::config_error_at(file, "/peers", "true, where links between gateways have faults",
                                     "none");
      }
      if (const auto* x = app::member(v, "for_s")) fault.duration = to_duration(x->GetDouble());
      if (const auto* x = app::member(v, "factor")) fault.factor = x->GetDouble();
      if (const auto* x = app::member(v, "reset")) fault.reset = x->GetBool();
      if (const auto* x = app::member(v, "way")) {
        const std::string way = x->GetString();
        fault.forward = way != "back";
        fault.reverse = way != "there";
      }
      if (fault.at >= scenario.run_time)
        throw app::config_error_at(file, at + "/at_s", "before the end", app::to_excerpt(v["at_s"]));
      scenario.faults.push_back(fault);
    }
  return scenario;
}

double mean_work_seconds(const Scenario& scenario) {
  double mean = 0, shares = 0;
  for (const auto& k : scenario.classes) {
    mean += k.share * static_cast<double>((k.min_work + k.max_work).count()) / 2e6;
    shares += k.share;
  }
  return mean / shares;
}

double full_load_rate(const Scenario& scenario) {
  return 0.92 * scenario.groups * scenario.members * scenario.host.cores * scenario.host.speed /
         mean_work_seconds(scenario);
}

std::string gateway_config(const Scenario& scenario, int gateway, const std::string& listen,
                           const std::string& control, const std::string& discovery,
                           const std::string& initial_list) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  const auto write_string = [&](const char* key, const std::string& v) {
    writer.Key(key);
    writer.String(v.c_str());
  };
  const auto write_integer = [&](const char* key, std::int64_t v) {
    writer.Key(key);
    writer.Int64(v);
  };
  const auto write_number = [&](const char* key, double v) {
    writer.Key(key);
    writer.Double(v);
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
                static_cast<unsigned long long>(scenario.seed * 1000 + static_cast<std::uint64_t>(gateway)));
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
  for (const auto& z : scenario.zones) writer.String(z.c_str());
  writer.EndArray();
  write_integer("balancers", scenario.gateways);
  write_integer("position", gateway);
  write_string("registry_mode", "subscribe");
  writer.Key("classes");
  writer.StartArray();
  for (const auto& k : scenario.classes) {
    const auto& c = k.request_class;
    writer.StartObject();
    write_string("name", c.name);
    write_integer("aim", c.latency_target.count() / 1000);
    write_integer("deadline", c.deadline.count() / 1000);
    write_number("importance", c.value);
    write_number("late_worth", c.late_value);
    write_string("effect", c.idempotency == Idempotency::safe    ? "read_like"
                           : c.idempotency == Idempotency::keyed ? "idempotency_key"
                                                                 : "non_idempotent");
    write_string("group", "cell");
    write_integer("window", c.dedup_window.count() / 1000);
    writer.EndObject();
  }
  writer.EndArray();
  writer.Key("realms");
  writer.StartArray();
  for (const auto& t : scenario.tenants) {
    writer.StartObject();
    write_string("name", t.name);
    write_number("quota_per_s", full_load_rate(scenario) * t.share / scenario.gateways);
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
  for (const auto& k : scenario.classes)
    writer.Int64(
        k.request_class.freshness == Freshness::bounded ? k.request_class.staleness_bound.count() / 1000 : 0);
  writer.EndArray();
  writer.Key("needs_by_class");
  writer.StartArray();
  for (const auto& k : scenario.classes) {
    const auto f = k.request_class.freshness;
    writer.String(f == Freshness::write     ? "mutate"
                  : f == Freshness::fresh   ? "strong"
                  : f == Freshness::session ? "causal"
                  : f == Freshness::bounded ? "lag_bound"
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
  write_integer("cold", scenario.warm_up_duration.count() / 1000);
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
