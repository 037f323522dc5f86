#include "app/gateway_file.h"

#include <rapidjson/prettywriter.h>
#include <rapidjson/stringbuffer.h>

#include <algorithm>
#include <map>

#include "gateway_schema.h"  // generated from deploy/gateway.schema.json by the build

namespace cedarring::app {
namespace {

using Json = rapidjson::Value;

/// A member in milliseconds, or `fallback` if the object has none of that key.
Duration milliseconds_or(const Json& object, const char* key, Duration fallback) {
  const auto* value = member(object, key);
  return value ? Duration(value->GetInt64() * 1000) : fallback;
}

double number_or(const Json& object, const char* key, double fallback) {
  const auto* value = member(object, key);
  return value ? value->GetDouble() : fallback;
}

std::string text_or(const Json& object, const char* key, const std::string& fallback) {
  const auto* value = member(object, key);
  return value ? std::string(value->GetString(), value->GetStringLength()) : fallback;
}

/// The words of the key `needs` of a shed rule.
constexpr std::pair<const char*, Freshness> freshness_names[] = {{"any", Freshness::any},
                                                                 {"bounded", Freshness::bounded},
                                                                 {"session", Freshness::session},
                                                                 {"fresh", Freshness::fresh},
                                                                 {"write", Freshness::write}};

/// Parses ladders with the class and tenant names of one service. Tracks JSON pointers for error messages.
class LadderParser {
 public:
  LadderParser(const std::string& file, const levels::ServiceInfo& service,
               const std::vector<std::string>& tenants)
      : file_(file), service_(service), tenants_(tenants) {}

  /// The levels in the order of the axis, from the normal level upwards. Appends the JSON pointer of each
  /// level to `pointers`, in the same order.
  std::vector<levels::Level> parse(const Json& ladder, const std::string& pointer,
                                   std::vector<std::string>& pointers) {
    std::vector<levels::Level> in_file_order;
    std::map<std::string, std::size_t> index_by_name;
    for (rapidjson::SizeType i = 0; i < ladder.Size(); ++i) {
      in_file_order.push_back(parse_level(ladder[i], pointer + "/" + std::to_string(i)));
      if (!index_by_name.emplace(in_file_order.back().name, i).second)
        throw config_error_at(file_, pointer + "/" + std::to_string(i) + "/name", "a unique name",
                              "'" + in_file_order.back().name + "' twice");
    }
    // `after` names the level below; its default is the previous level in the file.
    std::map<std::size_t, std::size_t> level_above;  // index of a level -> index of the level above it
    for (rapidjson::SizeType i = 1; i < ladder.Size(); ++i) {
      const auto after = text_or(ladder[i], "after", in_file_order[i - 1].name);
      const auto after_pointer = pointer + "/" + std::to_string(i) + "/after";
      const auto below = index_by_name.find(after);
      if (below == index_by_name.end())
        throw config_error_at(file_, after_pointer, "the name of a level", "'" + after + "'");
      if (!level_above.emplace(below->second, i).second)
        throw config_error_at(file_, after_pointer, "a level that no other level follows", "'" + after + "'");
    }
    std::vector<levels::Level> ordered;
    for (std::size_t i = 0;;) {
      ordered.push_back(std::move(in_file_order[i]));
      pointers.push_back(pointer + "/" + std::to_string(i));
      const auto next = level_above.find(i);
      if (next == level_above.end()) break;
      i = next->second;
    }
    // A level that cannot be reached from the first level is part of a cycle.
    if (ordered.size() != in_file_order.size())
      for (rapidjson::SizeType i = 1; i < ladder.Size(); ++i) {
        const auto level_pointer = pointer + "/" + std::to_string(i);
        if (std::find(pointers.begin(), pointers.end(), level_pointer) == pointers.end())
          throw config_error_at(file_, level_pointer + "/after",
                                "a chain of levels that begins with the first one", "a cycle");
      }
    return ordered;
  }

 private:
  std::int32_t class_index(const Json& value, const std::string& pointer) {
    const std::string name = value.GetString();
    for (std::size_t i = 0; i < service_.classes.size(); ++i)
      if (service_.classes[i].name == name) return static_cast<std::int32_t>(i);
    throw config_error_at(file_, pointer, "a class of the settings", "'" + name + "'");
  }

  levels::Level parse_level(const Json& value, const std::string& pointer) {
    levels::Level level;
    level.name = text_or(value, "name", "");
    if (const auto* rule = member(value, "enter")) level.enter = parse_rule(*rule, pointer + "/enter");
    if (const auto* rule = member(value, "exit")) level.exit = parse_rule(*rule, pointer + "/exit");
    level.min_dwell = milliseconds_or(value, "stay_ms", Duration::zero());
    if (const auto* rules = member(value, "shed"))
      for (rapidjson::SizeType i = 0; i < rules->Size(); ++i)
        level.shed_rules.push_back(parse_shed_rule((*rules)[i], pointer + "/shed/" + std::to_string(i)));
    if (const auto* changes = member(value, "changes")) {
      level.adjustments.probe_rate = number_or(*changes, "probe_rate", 1);
      level.adjustments.retry_budget = number_or(*changes, "retry_budget", 1);
      level.adjustments.pool_size = number_or(*changes, "pool_size", 1);
      level.adjustments.read_spillover = number_or(*changes, "spill", 1);
    }
    return level;
  }

  levels::Rule parse_rule(const Json& value, const std::string& pointer) {
    levels::Rule rule;
    rule.require_all = value.HasMember("all");
    const char* key = rule.require_all ? "all" : "any";
    const auto& list = value[key];
    for (rapidjson::SizeType i = 0; i < list.Size(); ++i)
      rule.conditions.push_back(parse_condition(list[i], pointer + "/" + key + "/" + std::to_string(i)));
    return rule;
  }

  levels::Condition parse_condition(const Json& value, const std::string& pointer) {
    levels::Condition condition;
    const auto name = text_or(value, "reading", "");
    for (std::size_t i = 0; i < levels::reading_count; ++i)
      if (name == levels::reading_table[i].name) condition.reading = static_cast<levels::Reading>(i);
    const bool of_class = levels::reading_info(condition.reading).scope == levels::Scope::request_class;
    const auto* class_name = member(value, "class");
    if (of_class && !class_name)
      throw config_error_at(file_, pointer, "a class for the reading " + name, "none");
    if (!of_class && class_name)
      throw config_error_at(file_, pointer + "/class",
                            "no class, since " + name + " is not a reading of a class",
                            to_excerpt(*class_name));
    if (class_name) condition.class_index = class_index(*class_name, pointer + "/class");
    const auto* above = member(value, "above");
    const auto* below = member(value, "below");
    if ((above != nullptr) == (below != nullptr))
      throw config_error_at(file_, pointer, "either above or below", above ? "both" : "neither");
    condition.above = above != nullptr;
    condition.bound = (above ? above : below)->GetDouble();
    condition.hold_time = milliseconds_or(value, "for_ms", Duration::zero());
    return condition;
  }

  levels::ShedRule parse_shed_rule(const Json& value, const std::string& pointer) {
    levels::ShedRule rule;
    bool selects_classes = false;
    if (const auto* classes = member(value, "classes")) {
      selects_classes = true;
      for (rapidjson::SizeType i = 0; i < classes->Size(); ++i)
        rule.classes.push_back(class_index((*classes)[i], pointer + "/classes/" + std::to_string(i)));
    }
    if (const auto* needs = member(value, "needs")) {
      selects_classes = true;
      for (const auto& need : needs->GetArray())
        for (const auto& [name, freshness] : freshness_names) {
          if (name != std::string(need.GetString())) continue;
          for (std::size_t i = 0; i < service_.classes.size(); ++i)
            if (service_.classes[i].freshness == freshness)
              rule.classes.push_back(static_cast<std::int32_t>(i));
        }
    }
    // An empty list means every class; a selection that matches no class must not be taken for it.
    if (selects_classes && rule.classes.empty())
      throw config_error_at(file_, pointer + "/needs",
                            "at least one class of the settings that matches the rule", "none");
    if (const auto* tenant = member(value, "tenant")) {
      const auto found = std::find(tenants_.begin(), tenants_.end(), std::string(tenant->GetString()));
      if (found == tenants_.end())
        throw config_error_at(file_, pointer + "/tenant", "a tenant of the settings", to_excerpt(*tenant));
      rule.tenant = static_cast<std::int32_t>(found - tenants_.begin());
    }
    rule.only_beyond_budget = text_or(value, "budget", "any") == "beyond";
    if (const auto* flag = member(value, "without_primary")) rule.only_without_primary = flag->GetBool();
    if (const auto* flag = member(value, "only_hopeless")) rule.only_past_takeover_deadline = flag->GetBool();
    if (rule.only_past_takeover_deadline && !rule.only_without_primary)
      throw config_error_at(file_, pointer + "/only_hopeless", "without_primary to be true in the same rule",
                            "none");
    rule.share = number_or(value, "share", 1);
    return rule;
  }

  const std::string& file_;
  const levels::ServiceInfo& service_;
  const std::vector<std::string>& tenants_;
};

}  // namespace

GatewayFile parse_gateway_file(const std::string& text, const std::string& name) {
  GatewayFile file;
  file.name = name;
  file.json = parse_object(text, name);
  check_schema(file.json, gateway_schema, name);
  if (const auto* log = file.section("log")) {
    const auto level = text_or(*log, "level", "info");
    const auto form = text_or(*log, "form", "auto");
    file.log.min_level = level == "debug"     ? telemetry::Level::debug
                         : level == "warning" ? telemetry::Level::warning
                         : level == "error"   ? telemetry::Level::error
                                              : telemetry::Level::info;
    file.log.format = form == "json"    ? telemetry::LogConfig::Format::json
                      : form == "plain" ? telemetry::LogConfig::Format::plain
                                        : telemetry::LogConfig::Format::automatic;
    if (const auto* value = member(*log, "per_cause")) file.log.max_lines_per_cause = value->GetUint();
  }
  if (const auto* records = file.section("records")) {
    file.log.records_file = text_or(*records, "file", "");
    if (const auto* value = member(*records, "bytes")) file.log.max_records_file_bytes = value->GetUint();
    if (const auto* value = member(*records, "files")) file.log.rotated_records_files = value->GetUint();
    if (const auto* value = member(*records, "kept")) file.log.records_in_memory = value->GetUint();
  }
  if (const auto* admin = file.section("admin")) file.admin_socket = text_or(*admin, "socket", "");
  return file;
}

std::optional<levels::Config> parse_levels(const GatewayFile& file, const std::string& front_end,
                                           const levels::ServiceInfo& service,
                                           const std::vector<std::string>& tenants) {
  const auto* section = file.section("levels");
  if (!section) return std::nullopt;
  const auto mode = text_or(*section, "mode", "");
  if (mode == "off") return std::nullopt;
  if (const auto* front_ends = member(*section, "fronts")) {
    bool listed = false;
    for (const auto& name : front_ends->GetArray()) listed |= front_end == name.GetString();
    if (!listed) return std::nullopt;
  }
  auto config = levels::default_config(service);
  config.mode = mode == "on" ? levels::Mode::on : levels::Mode::watch;
  config.pressure.min_change_interval = config.faults.min_change_interval =
      milliseconds_or(*section, "apart_ms", config.pressure.min_change_interval);
  config.pressure.damping = config.faults.damping = number_or(*section, "damping", config.pressure.damping);
  config.initial_takeover_estimate =
      milliseconds_or(*section, "takeover_hint_ms", config.initial_takeover_estimate);
  config.reading_decay_time = milliseconds_or(*section, "memory_ms", config.reading_decay_time);
  std::map<std::string, std::vector<std::string>> pointers_by_axis;
  for (const auto* axis : {"pressure", "faults"})
    if (const auto* ladder = member(*section, axis)) {
      LadderParser parser(file.name, service, tenants);
      auto& target = std::string(axis) == "pressure" ? config.pressure : config.faults;
      target.levels = parser.parse(*ladder, std::string("/levels/") + axis, pointers_by_axis[axis]);
    }
  if (const auto issue = levels::find_config_issue(config, service)) {
    // The path of the issue counts levels in the order of the axis, which may differ from that of the file.
    auto pointer = "/levels" + issue->path;
    for (const auto& [axis, pointers] : pointers_by_axis)
      for (std::size_t i = 0; i < pointers.size(); ++i) {
        const auto prefix = "/" + axis + "/" + std::to_string(i);
        if (issue->path.rfind(prefix, 0) == 0 &&
            (issue->path.size() == prefix.size() || issue->path[prefix.size()] == '/')) {
          pointer = pointers[i] + issue->path.substr(prefix.size());
          break;
        }
      }
    throw ConfigError(file.name + ": " + pointer + ": " + issue->problem);
  }
  return config;
}

std::string levels_to_json(const levels::Config& config, const levels::ServiceInfo& service,
                           const std::vector<std::string>& tenants) {
  rapidjson::StringBuffer buffer;
  rapidjson::PrettyWriter<rapidjson::StringBuffer> writer(buffer);
  writer.SetIndent(' ', 2);
  writer.SetFormatOptions(rapidjson::kFormatSingleLineArray);
  const auto write_text = [&](const char* key, const std::string& value) {
    writer.Key(key);
    writer.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
  };
  const auto write_milliseconds = [&](const char* key, Duration duration) {
    writer.Key(key);
    writer.Int64(duration.count() / 1000);
  };
  const auto write_rule = [&](const char* key, const levels::Rule& rule) {
    if (rule.conditions.empty()) return;
    writer.Key(key);
    writer.StartObject();
    writer.Key(rule.require_all ? "all" : "any");
    writer.StartArray();
    for (const auto& condition : rule.conditions) {
      writer.StartObject();
      write_text("reading", levels::reading_info(condition.reading).name);
      if (condition.class_index >= 0)
        write_text("class", service.classes[static_cast<std::size_t>(condition.class_index)].name);
      writer.Key(condition.above ? "above" : "below");
      writer.Double(condition.bound);
      write_milliseconds("for_ms", condition.hold_time);
      writer.EndObject();
    }
    writer.EndArray();
    writer.EndObject();
  };
  const auto write_ladder = [&](const char* key, const levels::LadderConfig& ladder) {
    writer.Key(key);
    writer.StartArray();
    for (const auto& level : ladder.levels) {
      writer.StartObject();
      write_text("name", level.name);
      write_rule("enter", level.enter);
      write_rule("exit", level.exit);
      if (level.min_dwell > Duration::zero()) write_milliseconds("stay_ms", level.min_dwell);
      if (!level.shed_rules.empty()) {
        writer.Key("shed");
        writer.StartArray();
        for (const auto& rule : level.shed_rules) {
          writer.StartObject();
          if (!rule.classes.empty()) {
            writer.Key("classes");
            writer.StartArray();
            for (const auto class_index : rule.classes)
              writer.String(service.classes[static_cast<std::size_t>(class_index)].name.c_str());
            writer.EndArray();
          }
          if (rule.tenant >= 0) write_text("tenant", tenants[static_cast<std::size_t>(rule.tenant)]);
          if (rule.only_beyond_budget) write_text("budget", "beyond");
          if (rule.only_without_primary) {
            writer.Key("without_primary");
            writer.Bool(true);
          }
          if (rule.only_past_takeover_deadline) {
            writer.Key("only_hopeless");
            writer.Bool(true);
          }
          writer.Key("share");
          writer.Double(rule.share);
          writer.EndObject();
        }
        writer.EndArray();
      }
      const auto& adjustments = level.adjustments;
      if (adjustments.probe_rate != 1 || adjustments.retry_budget != 1 || adjustments.pool_size != 1 ||
          adjustments.read_spillover != 1) {
        writer.Key("changes");
        writer.StartObject();
        writer.Key("probe_rate");
        writer.Double(adjustments.probe_rate);
        writer.Key("retry_budget");
        writer.Double(adjustments.retry_budget);
        writer.Key("pool_size");
        writer.Double(adjustments.pool_size);
        writer.Key("spill");
        writer.Double(adjustments.read_spillover);
        writer.EndObject();
      }
      writer.EndObject();
    }
    writer.EndArray();
  };
  writer.StartObject();
  write_text("mode", config.mode == levels::Mode::on      ? "on"
                     : config.mode == levels::Mode::watch ? "watch"
                                                          : "off");
  write_milliseconds("apart_ms", config.pressure.min_change_interval);
  writer.Key("damping");
  writer.Double(config.pressure.damping);
  write_milliseconds("takeover_hint_ms", config.initial_takeover_estimate);
  write_milliseconds("memory_ms", config.reading_decay_time);
  write_ladder("pressure", config.pressure);
  write_ladder("faults", config.faults);
  writer.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

}  // namespace cedarring::app
