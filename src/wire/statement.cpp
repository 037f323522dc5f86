#include "wire/statement.h"

namespace cedarring::wire {
namespace {

constexpr std::size_t max_number_digits = 18;         // always fits a signed 64-bit number
constexpr std::size_t max_id_size = 128;              // bytes; ids are kept while their requests are open
constexpr std::int64_t max_deadline_ms = 86'400'000;  // one day
// Positions from late 2286 on are taken for invalid; the bound keeps sums with durations, in
// microseconds, within 64 bits.
constexpr std::int64_t position_limit_ms = 10'000'000'000'000;

}  // namespace

std::optional<std::int64_t> to_int(std::string_view text) {
  if (text.empty() || text.size() > max_number_digits) return std::nullopt;
  std::int64_t value = 0;
  for (const char c : text) {
    if (c < '0' || c > '9') return std::nullopt;
    value = value * 10 + (c - '0');
  }
  return value;
}

bool set_request_field(std::string_view name, std::string_view value, StatementInfo& info) {
  const auto set_number = [&](std::optional<std::int64_t>& field) {
    field = to_int(value);
    return field.has_value();
  };
  if (name == "id")
    info.id = value;
  else if (name == "c")
    info.class_name = value;
  else if (name == "t")
    info.tenant = value;
  else if (name == "k")
    info.key = value;
  else if (name == "r")
    info.retry = value == "1";
  else if (name == "d")
    return set_number(info.deadline_ms);
  else if (name == "cluster")
    return set_number(info.group);
  else if (name == "after")
    return set_number(info.after_ms);
  return true;
}

std::string_view missing_field(const StatementInfo& info) {
  if (info.id.empty() || info.id.size() > max_id_size) return "id";
  if (info.class_name.empty()) return "c";
  if (!info.deadline_ms || *info.deadline_ms > max_deadline_ms) return "d";
  if (!info.group) return "cluster";
  return {};
}

bool parse_statement(std::string_view sql, StatementInfo& info, std::string& missing) {
  info = {};
  auto text = sql;  // up to the end of the comment
  while (!text.empty() && (text.back() == ' ' || text.back() == ';' || text.back() == '\n'))
    text.remove_suffix(1);
  const auto comment_start = text.rfind("/*");
  if (comment_start == std::string_view::npos || text.size() < comment_start + 4 ||
      text.substr(text.size() - 2) != "*/") {
    missing = "a trailing comment";
    return false;
  }
  auto fields = text.substr(comment_start + 2, text.size() - comment_start - 4);
  while (!fields.empty()) {
    const auto end = fields.find(',');
    auto field = fields.substr(0, end);
    while (!field.empty() && field.front() == ' ') field.remove_prefix(1);
    while (!field.empty() && field.back() == ' ') field.remove_suffix(1);
    if (const auto equals = field.find('='); equals != std::string_view::npos) {
      const auto name = field.substr(0, equals);
      const auto value = field.substr(equals + 1);
      if (!set_request_field(name, value, info)) {
        missing = "a number in " + std::string(name);
        return false;
      }
      if (name == "d") {
        info.deadline_offset = static_cast<std::size_t>(value.data() - sql.data());
        info.deadline_length = value.size();
      }
    }
    if (end == std::string_view::npos) break;
    fields.remove_prefix(end + 1);
  }
  if (const auto first = sql.find('\''); first < comment_start)
    if (const auto last = sql.find('\'', first + 1); last < comment_start)
      info.session = sql.substr(first + 1, last - first - 1);
  missing = missing_field(info);
  return missing.empty();
}

std::string with_deadline(std::string_view sql, const StatementInfo& info, std::int64_t deadline_ms) {
  std::string out(sql.substr(0, info.deadline_offset));
  out += std::to_string(deadline_ms);
  out += sql.substr(info.deadline_offset + info.deadline_length);
  return out;
}

SessionId session_id_of(std::string_view key) {
  constexpr std::uint64_t fnv_offset_basis = 14695981039346656037ULL;
  constexpr std::uint64_t fnv_prime = 1099511628211ULL;
  std::uint64_t hash = fnv_offset_basis;
  for (const char c : key) hash = (hash ^ static_cast<unsigned char>(c)) * fnv_prime;
  return SessionId{hash};
}

void apply_host_variable(std::string_view name, std::string_view value, AnswerMetadata& metadata) {
  if (name == "recovery" && value == "off") metadata.role = Role::primary;
  if (name == "recovery" && value == "on") metadata.role = Role::replica;
  if (name != "lsn_ms") return;
  if (const auto at = to_int(value); at && *at > 0 && *at < position_limit_ms)
    metadata.position = std::chrono::milliseconds(*at);
}

}  // namespace cedarring::wire
