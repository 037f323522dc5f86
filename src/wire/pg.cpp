#include "wire/pg.h"

#include <algorithm>

namespace cedarring::wire::pg {
namespace {

constexpr std::size_t startup_most = 10000;  // as PostgreSQL has it

std::uint32_t read_u32(std::string_view in) {
  std::uint32_t v = 0;
  for (int i = 0; i < 4; ++i) v = v << 8U | static_cast<unsigned char>(in[i]);
  return v;
}

void put_u32(std::string& out, std::uint32_t v) {
  for (int shift = 24; shift >= 0; shift -= 8)
    out += static_cast<char>(v >> static_cast<unsigned>(shift) & 0xffU);
}

void put_text(std::string& out, std::string_view text) {
  out += text;
  out += '\0';
}

void put_message(std::string& out, char type, std::string_view body) {
  if (type != 0) out += type;
  put_u32(out, static_cast<std::uint32_t>(body.size() + 4));
  out += body;
}

}  // namespace

Frame next_message(std::string_view in, std::size_t most, Message& out) {
  if (in.size() < 5) return Frame::partial;
  const auto length = read_u32(in.substr(1));
  if (length < 4 || length > most) return Frame::bad;
  if (in.size() < length + 1U) return Frame::partial;
  out = {in[0], in.substr(5, length - 4), length + 1U};
  return Frame::whole;
}

std::optional<std::size_t> long_query(std::string_view in, std::size_t over, std::size_t most) {
  if (in.size() < 5 || in[0] != 'Q') return std::nullopt;
  const std::size_t length = read_u32(in.substr(1));
  if (length <= over || length > most) return std::nullopt;
  return length - 4;
}

std::optional<std::size_t> long_row(std::string_view in, std::size_t over, std::size_t most) {
  if (in.size() < 11 || in[0] != 'D') return std::nullopt;
  const std::size_t length = read_u32(in.substr(1)), size = length + 1;
  if (size <= over || size > most || in[5] != 0 || in[6] != 1) return std::nullopt;
  if (read_u32(in.substr(7)) != length - 10) return std::nullopt;
  return size;
}

bool long_row_begins(std::string_view in, std::size_t over, std::size_t most) {
  if (in.size() < 5 || in.size() >= 11 || in[0] != 'D') return false;
  const std::size_t size = std::size_t{read_u32(in.substr(1))} + 1;
  return size > over && size <= most;
}

Frame next_startup(std::string_view in, Startup& out) {
  if (in.size() < 4) return Frame::partial;
  const auto length = read_u32(in);
  if (length < 8 || length > startup_most) return Frame::bad;
  if (in.size() < length) return Frame::partial;
  const auto code = read_u32(in.substr(4));
  out.size = length;
  if (code == 80877103)
    out.kind = StartupKind::ssl;
  else if (code == 80877104)
    out.kind = StartupKind::gss;
  else if (code == 80877102)
    out.kind = StartupKind::cancel;
  else
    out.kind = code >> 16U == 3 ? StartupKind::startup : StartupKind::unknown;
  return Frame::whole;
}

std::optional<std::string_view> take_text(std::string_view& body) {
  const auto end = body.find('\0');
  if (end == std::string_view::npos) return std::nullopt;
  const auto text = body.substr(0, end);
  body.remove_prefix(end + 1);
  return text;
}

std::string_view error_field(std::string_view body, char field) {
  std::string_view found;
  while (!body.empty() && body[0] != '\0') {
    const char type = body[0];
    body.remove_prefix(1);
    const auto text = take_text(body);
    if (!text) return {};
    if (type == field) found = *text;
  }
  return body.size() == 1 ? found : std::string_view();
}

bool valid_code(std::string_view code) {
  return code.size() == 5 && std::all_of(
                                 code.begin(), code.end(),
                                 [](char c) { return (c >= '0' && c <= '9') || (c >= 'A' && c <= 'Z'); });
}

bool one_column(std::string_view body) {
  constexpr std::size_t rest = 18;  // table, column, type, size, modifier, format
  if (body.size() < 2 || body[0] != 0 || body[1] != 1) return false;
  body.remove_prefix(2);
  return take_text(body) && body.size() == rest;
}

std::optional<std::string_view> only_column(std::string_view body) {
  if (body.size() < 6 || body[0] != 0 || body[1] != 1) return std::nullopt;
  const auto length = read_u32(body.substr(2));
  if (length != body.size() - 6) return std::nullopt;  // null is 0xffffffff: never equal
  return body.substr(6);
}

Outcome outcome_of(std::string_view code) {
  if (code == "25006" || code == "72000") return Outcome::too_stale;
  if (code == "53300" || code == "57P03") return Outcome::full;
  return Outcome::error;
}

void put_startup(std::string& out, std::string_view user, std::string_view database) {
  std::string body;
  put_u32(body, 3U << 16U);
  put_text(body, "user");
  put_text(body, user);
  put_text(body, "database");
  put_text(body, database);
  body += '\0';
  put_message(out, 0, body);
}

void put_query(std::string& out, std::string_view sql) {
  std::string body;
  put_text(body, sql);
  put_message(out, 'Q', body);
}

void put_query_head(std::string& out, std::size_t bytes) {
  out += 'Q';
  put_u32(out, static_cast<std::uint32_t>(bytes + 5));
}

void put_welcome(std::string& out) {
  put_message(out, 'R', std::string_view("\0\0\0\0", 4));
  for (const auto& [name, value] : {std::pair<std::string_view, std::string_view>{"server_version", "15.0"},
                                    {"client_encoding", "UTF8"},
                                    {"standard_conforming_strings", "on"}}) {
    std::string body;
    put_text(body, name);
    put_text(body, value);
    put_message(out, 'S', body);
  }
  put_ready(out);
}

void put_ready(std::string& out) { put_message(out, 'Z', "I"); }
void put_empty(std::string& out) { put_message(out, 'I', {}); }

void put_complete(std::string& out, std::string_view tag) {
  std::string body;
  put_text(body, tag);
  put_message(out, 'C', body);
}

void put_error(std::string& out, bool fatal, std::string_view code, std::string_view message,
               std::string_view detail) {
  std::string body;
  const auto field = [&](char type, std::string_view text) {
    body += type;
    put_text(body, text);
  };
  field('S', fatal ? "FATAL" : "ERROR");
  field('V', fatal ? "FATAL" : "ERROR");
  field('C', code);
  field('M', message);
  if (!detail.empty()) field('D', detail);
  body += '\0';
  put_message(out, 'E', body);
}

}  // namespace cedarring::wire::pg
