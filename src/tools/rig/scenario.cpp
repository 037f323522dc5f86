#include "tools/rig/scenario.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>

#include "app/json_schema.h"

namespace cedarring::rig {
namespace {

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

constexpr const char* fault_words[] = {
    "kill",  "term",   "stop",  "hup",   "upgrade", "slow",  "fail", "silent", "lag",  "drain", "cut",
    "delay", "refuse", "break", "spoil", "late",    "hurry", "mute", "tear",   "loss", "twice", "disorder"};

Duration seconds(double s) { return Duration(static_cast<std::int64_t>(s * 1e6)); }

Target parse_target(const rapidjson::Value& v, const std::string& file, const std::string& at,
                    const Scenario& s) {
  Target p;
  const std::string of = v["of"].GetString();
  p.kind = of == "gateways"  ? Target::Kind::gateways
           : of == "hosts"   ? Target::Kind::hosts
           : of == "primary" ? Target::Kind::primary
                             : Target::Kind::discovery;
  if (const auto* z = app::member(v, "zone")) {
    p.zone = z->GetString();
    if (std::find(s.zones.begin(), s.zones.end(), p.zone) == s.zones.end())
      throw app::flaw_at(file, at + "/zone", "one of the zones", app::shown(*z));
  }
  if (const auto* n = app::member(v, "numbers")) {
    const int limit = p.kind == Target::Kind::gateways ? s.gateways
                      : p.kind == Target::Kind::hosts  ? s.groups * s.members
                                                       : s.groups;
    for (const auto& x : n->GetArray()) {
      if (x.GetInt() >= limit)
        throw app::flaw_at(file, at + "/numbers", "numbers below " + std::to_string(limit), app::shown(x));
      p.numbers.push_back(x.GetInt());
    }
  }
  if (const auto* n = app::member(v, "share")) p.share = n->GetDouble();
  return p;
}

/// What can be done to what.
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
  const auto d = app::parse_object(text, file);
  app::check_schema(d, schema, file);
  Scenario s;
  const auto world = lab::sapporo();
  s.classes = world.classes;
  s.tenants = world.tenants;
  s.name = d["name"].GetString();
  const auto number = [&](const char* key, double default_value) {
    const auto* v = app::member(d, key);
    return v ? v->GetDouble() : default_value;
  };
  s.seed = static_cast<std::uint64_t>(number("seed", 1));
  s.gateways = static_cast<int>(number("gateways", s.gateways));
  s.groups = static_cast<int>(number("groups", s.groups));
  s.members = static_cast<int>(number("members", s.members));
  if (const auto* z = app::member(d, "zones")) {
    s.zones.clear();
    for (const auto& x : z->GetArray()) s.zones.emplace_back(x.GetString());
  }
  s.run_time = seconds(number("seconds", 10));
  s.warm_up = seconds(number("warm_up_s", 2));
  s.load = number("load", s.load);
  s.ramp = number("ramp", s.ramp);
  s.takeover = seconds(number("takeover_s", 2));
  s.discovery_delay = seconds(number("list_late_s", 0.5));
  s.balancer_delay = seconds(number("front_late_s", 1));
  s.warm_up_duration = seconds(number("cold_s", 14));
  s.cold_capacity_share = number("cold_from", s.cold_capacity_share);
  s.memory_mb = static_cast<int>(number("memory_mb", s.memory_mb));
  s.sockets = static_cast<int>(number("sockets", s.sockets));
  s.host.cores = static_cast<int>(number("cores", s.host.cores));
  s.host.room = static_cast<int>(number("room", s.host.room));
  s.host.speed = number("speed", s.host.speed);
  if (const auto* p = app::member(d, "peers")) s.peer_links = p->GetBool();
  s.client_exit_share = number("leaving", 0);
  if (const auto* c = app::member(d, "checks")) s.host.checks = c->GetBool();
  s.host.connections = static_cast<int>(number("connections", 0));
  s.host.handshake = seconds(number("handshake_ms", 0) / 1000);
  s.probe_cost = number("probe_price", s.probe_cost);
  s.min_value_served = number("served_least", 0);
  if (s.warm_up >= s.run_time)
    throw app::flaw_at(file, "/warm_up_s", "less than seconds", std::to_string(number("warm_up_s", 2)));
  if (const auto* g = app::member(d, "gateway_file")) {
    rapidjson::StringBuffer b;
    rapidjson::Writer<rapidjson::StringBuffer> w(b);
    g->Accept(w);
    s.gateway_file = b.GetString();
  }
  if (const auto* faults = app::member(d, "faults"))
    for (rapidjson::SizeType i = 0; i < faults->Size(); ++i) {
      const auto& v = (*faults)[i];
      const auto at = "/faults/" + std::to_string(i);
      Fault f;
      f.at = seconds(v["at_s"].GetDouble());
      f.kind = static_cast<FaultKind>(
          std::find(std::begin(fault_words), std::end(fault_words), std::string(v["do"].GetString())) -
          std::begin(fault_words));
      f.target = parse_target(v["on"], file, at + "/on", s);
      if (!fault_applies_to(f.kind, f.target.kind))
        throw app::flaw_at(file, at + "/on/of",
                           "what '" + std::string(v["do"].GetString()) + "' can be done to",
                           app::shown(v["on"]["of"]));
      const bool datagram_fault =
          f.kind == FaultKind::loss || f.kind == FaultKind::duplicate || f.kind == FaultKind::reorder;
      const bool link_fault = f.kind == FaultKind::cut || f.kind == FaultKind::delay || datagram_fault;
      if (link_fault != v.HasMember("to"))
        throw app::flaw_at(file, at + "/to", link_fault ? "the hosts of the link" : "none",
                           link_fault ? "none" : "one");
      if (link_fault) {
        f.link_end = parse_target(v["to"], file, at + "/to", s);
        if (datagram_fault && f.link_end.kind != Target::Kind::gateways)
          throw app::flaw_at(file, at + "/to/of", "gateways, as only they send datagrams",
                             app::shown(v["to"]["of"]));
        if (f.link_end.kind == Target::Kind::gateways && !s.peer_links)
          throw app::flaw_at(file, "/peers", "true, where links between gateways have faults", "none");
      }
      if (const auto* x = app::member(v, "for_s")) f.duration = seconds(x->GetDouble());
      if (const auto* x = app::member(v, "factor")) f.factor = x->GetDouble();
      if (const auto* x = app::member(v, "reset")) f.reset = x->GetBool();
      if (const auto* x = app::member(v, "way")) {
        const std::string way = x->GetString();
        f.forward = way != "back";
        f.reverse = way != "there";
      }
      if (f.at >= s.run_time) throw app::flaw_at(file, at + "/at_s", "before the end", app::shown(v["at_s"]));
      s.faults.push_back(f);
    }
  return s;
}

double mean_work_seconds(const Scenario& s) {
  double mean = 0, shares = 0;
  for (const auto& k : s.classes) {
    mean += k.share * static_cast<double>((k.work_from + k.work_to).count()) / 2e6;
    shares += k.share;
  }
  return mean / shares;
}

double full_load_rate(const Scenario& s) {
  return 0.92 * s.groups * s.members * s.host.cores * s.host.speed / mean_work_seconds(s);
}

std::string gateway_config(const Scenario& s, int gateway, const std::string& listen,
                           const std::string& control, const std::string& discovery,
                           const std::string& initial_list) {
  rapidjson::StringBuffer b;
  rapidjson::Writer<rapidjson::StringBuffer> w(b);
  const auto write_string = [&](const char* k, const std::string& v) {
    w.Key(k);
    w.String(v.c_str());
  };
  const auto write_integer = [&](const char* k, std::int64_t v) {
    w.Key(k);
    w.Int64(v);
  };
  const auto write_number = [&](const char* k, double v) {
    w.Key(k);
    w.Double(v);
  };
  const auto write_true = [&](const char* k) {
    w.Key(k);
    w.Bool(true);
  };
  w.StartObject();
  write_string("name", "g" + std::to_string(gateway));
  write_string("listen", listen);
  write_string("control", control);
  write_string("discovery", discovery);
  char seed[17];
  std::snprintf(seed, sizeof seed, "%llx",
                static_cast<unsigned long long>(s.seed * 1000 + static_cast<std::uint64_t>(gateway)));
  write_string("seed", seed);
  w.Key("known");
  w.RawValue(initial_list.data(), initial_list.size(), rapidjson::kObjectType);
  w.Key("limits");
  w.StartObject();
  write_integer("memory_mb", s.memory_mb);
  write_integer("sockets", s.sockets);
  w.EndObject();
  w.Key("settings");
  w.StartObject();
  write_string("az", s.zones[static_cast<std::size_t>(gateway) % s.zones.size()]);
  w.Key("zones");
  w.StartArray();
  for (const auto& z : s.zones) w.String(z.c_str());
  w.EndArray();
  write_integer("balancers", s.gateways);
  write_integer("position", gateway);
  write_string("registry_mode", "subscribe");
  w.Key("classes");
  w.StartArray();
  for (const auto& k : s.classes) {
    const auto& c = k.contract;
    w.StartObject();
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
    w.EndObject();
  }
  w.EndArray();
  w.Key("realms");
  w.StartArray();
  for (const auto& t : s.tenants) {
    w.StartObject();
    write_string("name", t.name);
    write_number("quota_per_s", full_load_rate(s) * t.share / s.gateways);
    w.EndObject();
  }
  w.EndArray();
  w.Key("specifics");
  w.StartObject();
  write_string("checks", s.host.checks ? "bounce" : "none");
  write_string("list_role", "trailing");
  write_true("stamps");
  write_string("token_mode", "brought");
  w.Key("class_bound");
  w.StartArray();
  for (const auto& k : s.classes)
    w.Int64(k.contract.freshness == Freshness::bounded ? k.contract.staleness_bound.count() / 1000 : 0);
  w.EndArray();
  w.Key("needs_by_class");
  w.StartArray();
  for (const auto& k : s.classes) {
    const auto f = k.contract.freshness;
    w.String(f == Freshness::write     ? "mutate"
             : f == Freshness::fresh   ? "strong"
             : f == Freshness::session ? "causal"
             : f == Freshness::bounded ? "lag_bound"
                                       : "eventual");
  }
  w.EndArray();
  w.EndObject();
  w.Key("limits");
  w.StartObject();
  write_true("may_probe");
  write_true("cancel");
  write_true("retry_after");
  write_integer("max_retry_after", 500);
  write_integer("send_cap", 6);
  write_integer("connect_timeout", 250);
  write_integer("idle_close", 15000);
  w.EndObject();
  w.Key("guarantees");
  w.StartObject();
  write_integer("ask_within", 10000);
  write_integer("cold", s.warm_up_duration.count() / 1000);
  write_number("cold_from", s.cold_capacity_share);
  write_number("tip_multiple", 2);
  write_integer("tip_after", 2000);
  write_integer("stop_sending_within", 1000);
  w.EndObject();
  w.Key("prices");
  w.StartObject();
  write_number("probe", s.probe_cost);
  w.EndObject();
  write_integer("quantum", 5);
  w.EndObject();
  w.EndObject();
  return b.GetString();
}

}  // namespace cedarring::rig
