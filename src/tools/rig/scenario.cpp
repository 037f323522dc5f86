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

constexpr const char* words[] = {"kill",  "term",  "stop", "hup",   "upgrade", "slow",    "fail",  "silent",
                                 "lag",   "drain", "cut",  "delay", "refuse",  "break",   "spoil", "late",
                                 "hurry", "mute",  "tear", "loss",  "twice",   "disorder"};

Duration seconds(double s) { return Duration(static_cast<std::int64_t>(s * 1e6)); }

Pick pick_of(const rapidjson::Value& v, const std::string& file, const std::string& at, const Scenario& s) {
  Pick p;
  const std::string of = v["of"].GetString();
  p.kind = of == "gateways"  ? Pick::Kind::gateways
           : of == "hosts"   ? Pick::Kind::hosts
           : of == "primary" ? Pick::Kind::primary
                             : Pick::Kind::discovery;
  if (const auto* z = app::member(v, "zone")) {
    p.zone = z->GetString();
    if (std::find(s.zones.begin(), s.zones.end(), p.zone) == s.zones.end())
      throw app::config_error_at(file, at + "/zone", "one of the zones", app::to_excerpt(*z));
  }
  if (const auto* n = app::member(v, "numbers")) {
    const int most = p.kind == Pick::Kind::gateways ? s.gateways
                     : p.kind == Pick::Kind::hosts  ? s.groups * s.members
                                                    : s.groups;
    for (const auto& x : n->GetArray()) {
      if (x.GetInt() >= most)
        throw app::config_error_at(file, at + "/numbers", "numbers below " + std::to_string(most),
                                   app::to_excerpt(x));
      p.numbers.push_back(x.GetInt());
    }
  }
  if (const auto* n = app::member(v, "share")) p.share = n->GetDouble();
  return p;
}

/// What can be done to what.
bool fits(Do what, Pick::Kind kind) {
  switch (what) {
    case Do::term:
    case Do::stop:
    case Do::hup:
    case Do::upgrade:
    case Do::loss:
    case Do::twice:
    case Do::disorder:
    case Do::cut:
    case Do::delay:
      return kind == Pick::Kind::gateways;
    case Do::mute:
    case Do::tear:
    case Do::refuse:
      return kind == Pick::Kind::discovery;
    case Do::kill:
      return kind != Pick::Kind::discovery;
    case Do::silent:
      return kind != Pick::Kind::gateways;
    default:
      return kind == Pick::Kind::hosts || kind == Pick::Kind::primary;
  }
}

}  // namespace

Scenario parse_scenario(const std::string& text, const std::string& file) {
  const auto d = app::parse_object(text, file);
  app::check_schema(d, schema, file);
  Scenario s;
  const auto world = lab::reference_deployment();
  s.classes = world.classes, s.tenants = world.tenants;
  s.name = d["name"].GetString();
  const auto number = [&](const char* key, double otherwise) {
    const auto* v = app::member(d, key);
    return v ? v->GetDouble() : otherwise;
  };
  s.seed = static_cast<std::uint64_t>(number("seed", 1));
  s.gateways = static_cast<int>(number("gateways", s.gateways));
  s.groups = static_cast<int>(number("groups", s.groups));
  s.members = static_cast<int>(number("members", s.members));
  if (const auto* z = app::member(d, "zones")) {
    s.zones.clear();
    for (const auto& x : z->GetArray()) s.zones.emplace_back(x.GetString());
  }
  s.length = seconds(number("seconds", 10)), s.warm_up = seconds(number("warm_up_s", 2));
  s.load = number("load", s.load), s.ramp = number("ramp", s.ramp);
  s.takeover = seconds(number("takeover_s", 2)), s.list_late = seconds(number("list_late_s", 0.5));
  s.front_late = seconds(number("front_late_s", 1));
  s.cold = seconds(number("cold_s", 14)), s.cold_from = number("cold_from", s.cold_from);
  s.memory_mb = static_cast<int>(number("memory_mb", s.memory_mb));
  s.sockets = static_cast<int>(number("sockets", s.sockets));
  s.host.cores = static_cast<int>(number("cores", s.host.cores));
  s.host.max_requests = static_cast<int>(number("room", s.host.max_requests));
  s.host.speed = number("speed", s.host.speed);
  if (const auto* p = app::member(d, "peers")) s.peers = p->GetBool();
  s.leaving = number("leaving", 0);
  if (const auto* c = app::member(d, "checks")) s.host.checks_staleness = c->GetBool();
  s.host.max_connections = static_cast<int>(number("connections", 0));
  s.host.handshake_work = seconds(number("handshake_ms", 0) / 1000);
  s.probe_price = number("probe_price", s.probe_price);
  s.served_least = number("served_least", 0);
  if (s.warm_up >= s.length)
    throw app::config_error_at(file, "/warm_up_s", "less than seconds",
                               std::to_string(number("warm_up_s", 2)));
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
      f.what =
          static_cast<Do>(std::find(std::begin(words), std::end(words), std::string(v["do"].GetString())) -
                          std::begin(words));
      f.on = pick_of(v["on"], file, at + "/on", s);
      if (!fits(f.what, f.on.kind))
        throw app::config_error_at(file, at + "/on/of",
                                   "what '" + std::string(v["do"].GetString()) + "' can be done to",
                                   app::to_excerpt(v["on"]["of"]));
      const bool datagrams = f.what == Do::loss || f.what == Do::twice || f.what == Do::disorder;
      const bool link = f.what == Do::cut || f.what == Do::delay || datagrams;
      if (link != v.HasMember("to"))
        throw app::config_error_at(file, at + "/to", link ? "the hosts of the link" : "none",
                                   link ? "none" : "one");
      if (link) {
        f.to = pick_of(v["to"], file, at + "/to", s);
        if (datagrams && f.to.kind != Pick::Kind::gateways)
          throw app::config_error_at(file, at + "/to/of", "gateways, as only they send datagrams",
                                     app::to_excerpt(v["to"]["of"]));
        if (f.to.kind == Pick::Kind::gateways && !s.peers)
          throw app::config_error_at(file, "/peers", "true, where links between gateways have faults",
                                     "none");
      }
      if (const auto* x = app::member(v, "for_s")) f.lasts = seconds(x->GetDouble());
      if (const auto* x = app::member(v, "factor")) f.factor = x->GetDouble();
      if (const auto* x = app::member(v, "reset")) f.reset = x->GetBool();
      if (const auto* x = app::member(v, "way")) {
        const std::string way = x->GetString();
        f.there = way != "back", f.back = way != "there";
      }
      if (f.at >= s.length)
        throw app::config_error_at(file, at + "/at_s", "before the end", app::to_excerpt(v["at_s"]));
      s.faults.push_back(f);
    }
  return s;
}

double mean_work(const Scenario& s) {
  double mean = 0, shares = 0;
  for (const auto& k : s.classes)
    mean += k.share * static_cast<double>((k.min_work + k.max_work).count()) / 2e6, shares += k.share;
  return mean / shares;
}

double full_rate(const Scenario& s) {
  return 0.92 * s.groups * s.members * s.host.cores * s.host.speed / mean_work(s);
}

std::string gateway_config(const Scenario& s, int gateway, const std::string& listen,
                           const std::string& control, const std::string& discovery,
                           const std::string& known) {
  rapidjson::StringBuffer b;
  rapidjson::Writer<rapidjson::StringBuffer> w(b);
  const auto text = [&](const char* k, const std::string& v) { w.Key(k), w.String(v.c_str()); };
  const auto whole = [&](const char* k, std::int64_t v) { w.Key(k), w.Int64(v); };
  const auto real = [&](const char* k, double v) { w.Key(k), w.Double(v); };
  const auto yes = [&](const char* k) { w.Key(k), w.Bool(true); };
  w.StartObject();
  text("name", "g" + std::to_string(gateway)), text("listen", listen), text("control", control);
  text("discovery", discovery);
  char seed[17];
  std::snprintf(seed, sizeof seed, "%llx",
                static_cast<unsigned long long>(s.seed * 1000 + static_cast<std::uint64_t>(gateway)));
  text("seed", seed);
  w.Key("known"), w.RawValue(known.data(), known.size(), rapidjson::kObjectType);
  w.Key("limits"), w.StartObject(), whole("memory_mb", s.memory_mb), whole("sockets", s.sockets),
      w.EndObject();
  w.Key("settings"), w.StartObject();
  text("az", s.zones[static_cast<std::size_t>(gateway) % s.zones.size()]);
  w.Key("zones"), w.StartArray();
  for (const auto& z : s.zones) w.String(z.c_str());
  w.EndArray();
  whole("balancers", s.gateways), whole("position", gateway), text("registry_mode", "subscribe");
  w.Key("classes"), w.StartArray();
  for (const auto& k : s.classes) {
    const auto& c = k.request_class;
    w.StartObject();
    text("name", c.name), whole("aim", c.latency_target.count() / 1000),
        whole("deadline", c.deadline.count() / 1000);
    real("importance", c.value), real("late_worth", c.late_value);
    text("effect", c.idempotency == Idempotency::safe    ? "read_like"
                   : c.idempotency == Idempotency::keyed ? "idempotency_key"
                                                         : "non_idempotent");
    text("group", "cell"), whole("window", c.dedup_window.count() / 1000);
    w.EndObject();
  }
  w.EndArray();
  w.Key("realms"), w.StartArray();
  for (const auto& t : s.tenants)
    w.StartObject(), text("name", t.name), real("quota_per_s", full_rate(s) * t.share / s.gateways),
        w.EndObject();
  w.EndArray();
  w.Key("specifics"), w.StartObject();
  text("checks", s.host.checks_staleness ? "bounce" : "none"), text("list_role", "trailing"), yes("stamps"),
      text("token_mode", "brought");
  w.Key("class_bound"), w.StartArray();
  for (const auto& k : s.classes)
    w.Int64(k.request_class.freshness == Freshness::bounded ? k.request_class.staleness_bound.count() / 1000
                                                            : 0);
  w.EndArray();
  w.Key("needs_by_class"), w.StartArray();
  for (const auto& k : s.classes) {
    const auto f = k.request_class.freshness;
    w.String(f == Freshness::write     ? "mutate"
             : f == Freshness::fresh   ? "strong"
             : f == Freshness::session ? "causal"
             : f == Freshness::bounded ? "lag_bound"
                                       : "eventual");
  }
  w.EndArray();
  w.EndObject();
  w.Key("limits"), w.StartObject(), yes("may_probe"), yes("cancel"), yes("retry_after"),
      whole("max_retry_after", 500);
  whole("send_cap", 6), whole("connect_timeout", 250), whole("idle_close", 15000), w.EndObject();
  w.Key("guarantees"), w.StartObject(), whole("ask_within", 10000), whole("cold", s.cold.count() / 1000);
  real("cold_from", s.cold_from), real("tip_multiple", 2), whole("tip_after", 2000),
      whole("stop_sending_within", 1000);
  w.EndObject();
  w.Key("prices"), w.StartObject(), real("probe", s.probe_price), w.EndObject();
  whole("quantum", 5);
  w.EndObject();
  w.EndObject();
  return b.GetString();
}

}  // namespace cedarring::rig
