#include "wire/statement.h"

namespace cedarring::wire {
namespace {

constexpr std::size_t id_most = 128;  // it is kept while its request is open

}  // namespace

std::optional<std::int64_t> to_int(std::string_view text) {
  if (text.empty() || text.size() > 18) return std::nullopt;
  std::int64_t value = 0;
  for (const char c : text) {
    if (c < '0' || c > '9') return std::nullopt;
    value = value * 10 + (c - '0');
  }
  return value;
}

bool set_field(std::string_view name, std::string_view value, StatementInfo& info) {
  const auto number = [&](std::optional<std::int64_t>& field) { return (field = to_int(value)).has_value(); };
  if (name == "id")
    info.id = value;
  else if (name == "c")
    info.contract = value;
  else if (name == "t")
    info.tenant = value;
  else if (name == "k")
    info.key = value;
  else if (name == "r")
    info.retry = value == "1";
  else if (name == "d")
    return number(info.deadline_ms);
  else if (name == "cluster")
    return number(info.cluster);
  else if (name == "after")
    return number(info.after_ms);
  return true;
}

std::string_view lacking(const StatementInfo& info) {
  if (info.id.empty() || info.id.size() > id_most) return "id";
  if (info.contract.empty()) return "c";
  if (!info.deadline_ms || *info.deadline_ms > 86'400'000) return "d";
  if (!info.cluster) return "cluster";
  return {};
}

bool parse_statement(std::string_view sql, StatementInfo& info, std::string& missing) {
  info = {};
  auto text = sql;
  while (!text.empty() && (text.back() == ' ' || text.back() == ';' || text.back() == '\n'))
    text.remove_suffix(1);
  const auto open = text.rfind("/*");
  if (open == std::string_view::npos || text.size() < open + 4 || text.substr(text.size() - 2) != "*/") {
    missing = "a trailing comment";
    return false;
  }
  auto fields = text.substr(open + 2, text.size() - open - 4);
  while (!fields.empty()) {
    const auto end = fields.find(',');
    auto part = fields.substr(0, end);
    while (!part.empty() && part.front() == ' ') part.remove_prefix(1);
    while (!part.empty() && part.back() == ' ') part.remove_suffix(1);
    if (const auto eq = part.find('='); eq != std::string_view::npos) {
      const auto name = part.substr(0, eq), value = part.substr(eq + 1);
      if (!set_field(name, value, info)) {
        missing = "a number in " + std::string(name);
        return false;
      }
      if (name == "d") {
        info.deadline_at = static_cast<std::size_t>(value.data() - sql.data());
        info.deadline_len = value.size();
      }
    }
    if (end == std::string_view::npos) break;
    fields.remove_prefix(end + 1);
  }
  if (const auto first = sql.find('\''); first < open)
    if (const auto last = sql.find('\'', first + 1); last < open)
      info.session = sql.substr(first + 1, last - first - 1);
  missing = lacking(info);
  return missing.empty();
}

std::string with_deadline(std::string_view sql, const StatementInfo& info, std::int64_t ms) {
  std::string out(sql.substr(0, info.deadline_at));
  out += std::to_string(ms);
  out += sql.substr(info.deadline_at + info.deadline_len);
  return out;
}

SessionId session_of(std::string_view key) {
  std::uint64_t h = 14695981039346656037ULL;
  for (const char c : key) h = (h ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
  return SessionId{h};
}

void set_note(std::string_view name, std::string_view value, AnswerMetadata& note) {
  if (name == "recovery" && value == "off") note.role = Role::primary;
  if (name == "recovery" && value == "on") note.role = Role::replica;
  if (name != "lsn_ms") return;
  // Past this a position would not fit the module's clock.
  if (const auto at = to_int(value); at && *at > 0 && *at < 10'000'000'000'000)
    note.position = std::chrono::milliseconds(*at);
}

}  // namespace cedarring::wire
