#include "app/gateway_file.h"

#include <rapidjson/prettywriter.h>
#include <rapidjson/stringbuffer.h>

#include <algorithm>
#include <map>

#include "gateway_schema.h"  // made from deploy/gateway.schema.json by the build

namespace cedarring::app {
namespace {

using Json = rapidjson::Value;

Duration ms_of(const Json& object, const char* key, Duration fallback) {
  const auto* v = member(object, key);
  return v ? Duration(v->GetInt64() * 1000) : fallback;
}
double number_of(const Json& object, const char* key, double fallback) {
  const auto* v = member(object, key);
  return v ? v->GetDouble() : fallback;
}
std::string text_of(const Json& object, const char* key, const std::string& fallback = "") {
  const auto* v = member(object, key);
  return v ? std::string(v->GetString(), v->GetStringLength()) : fallback;
}

constexpr std::pair<const char*, Freshness> need_words[] = {{"any", Freshness::any},
                                                            {"bounded", Freshness::bounded},
                                                            {"session", Freshness::session},
                                                            {"fresh", Freshness::fresh},
                                                            {"write", Freshness::write}};

/// Reads levels in the names of one service; knows where it is, for errors.
class LadderReader {
 public:
  LadderReader(const std::string& file, const levels::ServiceInfo& service,
               const std::vector<std::string>& tenants)
      : file_(file), service_(service), tenants_(tenants) {}

  /// The levels in their order on the axis, from the normal one up. `where` gets each one's place in the
  /// file.
  std::vector<levels::Level> read(const Json& ladder, const std::string& pointer,
                                  std::vector<std::string>& where) {
    std::vector<levels::Level> all;
    std::map<std::string, std::size_t> by_name;
    for (rapidjson::SizeType i = 0; i < ladder.Size(); ++i) {
      all.push_back(level(ladder[i], pointer + "/" + std::to_string(i)));
      if (!by_name.emplace(all.back().name, i).second)
        throw flaw_at(file_, pointer + "/" + std::to_string(i) + "/name", "a name of its own",
                      "'" + all.back().name + "' twice");
    }
    // `after` names the level below; without it that is the one before in the list.
    std::map<std::size_t, std::size_t> above;  // by the one below
    for (rapidjson::SizeType i = 1; i < ladder.Size(); ++i) {
      const auto after = text_of(ladder[i], "after", all[i - 1].name);
      const auto at = pointer + "/" + std::to_string(i) + "/after";
      const auto below = by_name.find(after);
      if (below == by_name.end()) throw flaw_at(file_, at, "the name of a level", "'" + after + "'");
      if (!above.emplace(below->second, i).second)
        throw flaw_at(file_, at, "a level that no other one follows", "'" + after + "'");
    }
    std::vector<levels::Level> ordered;
    for (std::size_t i = 0;;) {
      ordered.push_back(std::move(all[i]));
      where.push_back(pointer + "/" + std::to_string(i));
      const auto next = above.find(i);
      if (next == above.end()) break;
      i = next->second;
    }
    // Whoever is not on the way up from the first level stands on a ring of its own.
    if (ordered.size() != all.size())
      for (rapidjson::SizeType i = 1; i < ladder.Size(); ++i) {
        const auto at = pointer + "/" + std::to_string(i);
        if (std::find(where.begin(), where.end(), at) == where.end())
          throw flaw_at(file_, at + "/after", "a way up from the first level", "a cycle");
      }
    return ordered;
  }

 private:
  std::int32_t class_id(const Json& v, const std::string& pointer) {
    const std::string name = v.GetString();
    for (std::size_t i = 0; i < service_.classes.size(); ++i)
      if (service_.classes[i].name == name) return static_cast<std::int32_t>(i);
    throw flaw_at(file_, pointer, "a class of the settings", "'" + name + "'");
  }

  levels::Level level(const Json& v, const std::string& pointer) {
    levels::Level l;
    l.name = text_of(v, "name");
    if (const auto* r = member(v, "enter")) l.enter = rule(*r, pointer + "/enter");
    if (const auto* r = member(v, "exit")) l.exit = rule(*r, pointer + "/exit");
    l.stay = ms_of(v, "stay_ms", Duration::zero());
    if (const auto* sheds = member(v, "shed"))
      for (rapidjson::SizeType i = 0; i < sheds->Size(); ++i)
        l.sheds.push_back(shed((*sheds)[i], pointer + "/shed/" + std::to_string(i)));
    if (const auto* c = member(v, "changes")) {
      l.changes.probe_rate = number_of(*c, "probe_rate", 1);
      l.changes.retry_budget = number_of(*c, "retry_budget", 1);
      l.changes.pool_size = number_of(*c, "pool_size", 1);
      l.changes.spill = number_of(*c, "spill", 1);
    }
    return l;
  }

  levels::Rule rule(const Json& v, const std::string& pointer) {
    levels::Rule r;
    r.all = v.HasMember("all");
    const char* key = r.all ? "all" : "any";
    const auto& list = v[key];
    for (rapidjson::SizeType i = 0; i < list.Size(); ++i)
      r.conditions.push_back(condition(list[i], pointer + "/" + key + "/" + std::to_string(i)));
    return r;
  }

  levels::Condition condition(const Json& v, const std::string& pointer) {
    levels::Condition c;
    const auto name = text_of(v, "reading");
    for (std::size_t i = 0; i < levels::reading_count; ++i)
      if (name == levels::reading_table[i].name) c.reading = static_cast<levels::Reading>(i);
    const bool of_class = levels::info(c.reading).scope == levels::Scope::cls;
    const auto* cls = member(v, "class");
    if (of_class && !cls) throw flaw_at(file_, pointer, "a class for the reading " + name, "none");
    if (!of_class && cls)
      throw flaw_at(file_, pointer + "/class", "no class: " + name + " is not of a class", shown(*cls));
    if (cls) c.cls = class_id(*cls, pointer + "/class");
    const auto* above = member(v, "above");
    const auto* below = member(v, "below");
    if ((above != nullptr) == (below != nullptr))
      throw flaw_at(file_, pointer, "either above or below", above ? "both" : "neither");
    c.above = above != nullptr;
    c.bound = (above ? above : below)->GetDouble();
    c.hold = ms_of(v, "for_ms", Duration::zero());
    return c;
  }

  levels::Shed shed(const Json& v, const std::string& pointer) {
    levels::Shed s;
    bool named = false;
    if (const auto* classes = member(v, "classes")) {
      named = true;
      for (rapidjson::SizeType i = 0; i < classes->Size(); ++i)
        s.classes.push_back(class_id((*classes)[i], pointer + "/classes/" + std::to_string(i)));
    }
    if (const auto* needs = member(v, "needs")) {
      named = true;
      for (const auto& need : needs->GetArray())
        for (const auto& [word, freshness] : need_words)
          for (std::size_t i = 0; word == std::string(need.GetString()) && i < service_.classes.size(); ++i)
            if (service_.classes[i].freshness == freshness) s.classes.push_back(static_cast<std::int32_t>(i));
    }
    // An empty list means every class: one that was named and has none must not come to mean that.
    if (named && s.classes.empty())
      throw flaw_at(file_, pointer + "/needs", "needs that some class has", "none");
    if (const auto* tenant = member(v, "tenant")) {
      const auto it = std::find(tenants_.begin(), tenants_.end(), std::string(tenant->GetString()));
      if (it == tenants_.end())
        throw flaw_at(file_, pointer + "/tenant", "a tenant of the settings", shown(*tenant));
      s.tenant = static_cast<std::int32_t>(it - tenants_.begin());
    }
    s.only_beyond_budget = text_of(v, "budget", "any") == "beyond";
    if (const auto* b = member(v, "without_primary")) s.only_without_primary = b->GetBool();
    if (const auto* b = member(v, "only_hopeless")) s.only_hopeless = b->GetBool();
    if (s.only_hopeless && !s.only_without_primary)
      throw flaw_at(file_, pointer + "/only_hopeless", "without_primary beside it", "none");
    s.share = number_of(v, "share", 1);
    return s;
  }

  const std::string& file_;
  const levels::ServiceInfo& service_;
  const std::vector<std::string>& tenants_;
};

}  // namespace

GatewayFile parse_gateway_file(const std::string& text, const std::string& name) {
  GatewayFile f;
  f.name = name;
  f.json = parse_object(text, name);
  check_schema(f.json, gateway_schema, name);
  if (const auto* log = f.section("log")) {
    const auto level = text_of(*log, "level", "info"), form = text_of(*log, "form", "auto");
    f.log.min_level = level == "debug"     ? telemetry::Level::debug
                      : level == "warning" ? telemetry::Level::warning
                      : level == "error"   ? telemetry::Level::error
                                           : telemetry::Level::info;
    f.log.format = form == "json"    ? telemetry::LogConfig::Format::json
                   : form == "plain" ? telemetry::LogConfig::Format::plain
                                     : telemetry::LogConfig::Format::automatic;
    if (const auto* n = member(*log, "per_cause")) f.log.per_cause = n->GetUint();
  }
  if (const auto* records = f.section("records")) {
    f.log.records_file = text_of(*records, "file");
    if (const auto* n = member(*records, "bytes")) f.log.records_bytes = n->GetUint();
    if (const auto* n = member(*records, "files")) f.log.records_files = n->GetUint();
    if (const auto* n = member(*records, "kept")) f.log.records_kept = n->GetUint();
  }
  if (const auto* admin = f.section("admin")) f.admin_socket = text_of(*admin, "socket");
  return f;
}

std::optional<levels::Config> levels_of(const GatewayFile& file, const std::string& front,
                                        const levels::ServiceInfo& service,
                                        const std::vector<std::string>& tenants) {
  const auto* section = file.section("levels");
  if (!section) return std::nullopt;
  const auto mode = text_of(*section, "mode");
  if (mode == "off") return std::nullopt;
  if (const auto* fronts = member(*section, "fronts")) {
    bool here = false;
    for (const auto& f : fronts->GetArray()) here |= front == f.GetString();
    if (!here) return std::nullopt;
  }
  auto config = levels::default_config(service);
  config.mode = mode == "on" ? levels::Mode::on : levels::Mode::watch;
  config.pressure.apart = config.faults.apart = ms_of(*section, "apart_ms", config.pressure.apart);
  config.pressure.damping = config.faults.damping = number_of(*section, "damping", config.pressure.damping);
  config.takeover_hint = ms_of(*section, "takeover_hint_ms", config.takeover_hint);
  config.memory = ms_of(*section, "memory_ms", config.memory);
  std::map<std::string, std::vector<std::string>> where;
  for (const auto* axis : {"pressure", "faults"})
    if (const auto* ladder = member(*section, axis)) {
      LadderReader reader(file.name, service, tenants);
      auto& to = std::string(axis) == "pressure" ? config.pressure : config.faults;
      to.levels = reader.read(*ladder, std::string("/levels/") + axis, where[axis]);
    }
  if (const auto flaw = levels::find_config_issue(config, service)) {
    // The flaw's path counts levels in the order of the axis; the file has them in its own.
    auto at = "/levels" + flaw->where;
    for (const auto& [axis, places] : where)
      for (std::size_t i = 0; i < places.size(); ++i) {
        const auto prefix = "/" + axis + "/" + std::to_string(i);
        if (flaw->where.rfind(prefix, 0) == 0 &&
            (flaw->where.size() == prefix.size() || flaw->where[prefix.size()] == '/')) {
          at = places[i] + flaw->where.substr(prefix.size());
          break;
        }
      }
    throw ConfigError(file.name + ": " + at + ": " + flaw->what);
  }
  return config;
}

std::string levels_json(const levels::Config& config, const levels::ServiceInfo& service,
                        const std::vector<std::string>& tenants) {
  rapidjson::StringBuffer buffer;
  rapidjson::PrettyWriter<rapidjson::StringBuffer> w(buffer);
  w.SetIndent(' ', 2);
  w.SetFormatOptions(rapidjson::kFormatSingleLineArray);
  const auto text = [&](const char* key, const std::string& value) {
    w.Key(key);
    w.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
  };
  const auto ms = [&](const char* key, Duration d) {
    w.Key(key);
    w.Int64(d.count() / 1000);
  };
  const auto rule = [&](const char* key, const levels::Rule& r) {
    if (r.conditions.empty()) return;
    w.Key(key);
    w.StartObject();
    w.Key(r.all ? "all" : "any");
    w.StartArray();
    for (const auto& c : r.conditions) {
      w.StartObject();
      text("reading", levels::info(c.reading).name);
      if (c.cls >= 0) text("class", service.classes[static_cast<std::size_t>(c.cls)].name);
      w.Key(c.above ? "above" : "below");
      w.Double(c.bound);
      ms("for_ms", c.hold);
      w.EndObject();
    }
    w.EndArray();
    w.EndObject();
  };
  const auto ladder = [&](const char* key, const levels::LadderConfig& ladder) {
    w.Key(key);
    w.StartArray();
    for (const auto& l : ladder.levels) {
      w.StartObject();
      text("name", l.name);
      rule("enter", l.enter);
      rule("exit", l.exit);
      if (l.stay > Duration::zero()) ms("stay_ms", l.stay);
      if (!l.sheds.empty()) {
        w.Key("shed");
        w.StartArray();
        for (const auto& s : l.sheds) {
          w.StartObject();
          if (!s.classes.empty()) {
            w.Key("classes");
            w.StartArray();
            for (const auto c : s.classes)
              w.String(service.classes[static_cast<std::size_t>(c)].name.c_str());
            w.EndArray();
          }
          if (s.tenant >= 0) text("tenant", tenants[static_cast<std::size_t>(s.tenant)]);
          if (s.only_beyond_budget) text("budget", "beyond");
          if (s.only_without_primary) w.Key("without_primary"), w.Bool(true);
          if (s.only_hopeless) w.Key("only_hopeless"), w.Bool(true);
          w.Key("share");
          w.Double(s.share);
          w.EndObject();
        }
        w.EndArray();
      }
      if (l.changes.probe_rate != 1 || l.changes.retry_budget != 1 || l.changes.pool_size != 1 ||
          l.changes.spill != 1) {
        w.Key("changes");
        w.StartObject();
        w.Key("probe_rate"), w.Double(l.changes.probe_rate);
        w.Key("retry_budget"), w.Double(l.changes.retry_budget);
        w.Key("pool_size"), w.Double(l.changes.pool_size);
        w.Key("spill"), w.Double(l.changes.spill);
        w.EndObject();
      }
      w.EndObject();
    }
    w.EndArray();
  };
  w.StartObject();
  text("mode", config.mode == levels::Mode::on ? "on" : config.mode == levels::Mode::watch ? "watch" : "off");
  ms("apart_ms", config.pressure.apart);
  w.Key("damping"), w.Double(config.pressure.damping);
  ms("takeover_hint_ms", config.takeover_hint);
  ms("memory_ms", config.memory);
  ladder("pressure", config.pressure);
  ladder("faults", config.faults);
  w.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

}  // namespace cedarring::app
