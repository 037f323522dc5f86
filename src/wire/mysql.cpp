#include "wire/mysql.h"

#include <algorithm>

namespace cedarring::wire::mysql {
namespace {

constexpr std::string_view auth_plugin = "mysql_native_password";
constexpr std::uint16_t type_mask = 0xff, unsigned_flag = 0x8000;

bool whole_type(std::uint16_t type) {
  switch (type & type_mask) {
    case 0x01:
    case 0x02:
    case 0x03:
    case 0x08:
    case 0x09:
    case 0x0d:
      return true;
    default:
      return false;
  }
}

/// Types, names and values of parameters, after their count is known.
bool parse_parameters(Reader& in, std::size_t count, bool names, const std::vector<Parameter>& types,
                      const std::vector<std::optional<std::string>>& long_data, std::vector<Parameter>& out) {
  out.clear();
  if (count == 0) return in.ok();
  const auto nulls = in.text((count + 7) / 8);
  const bool bound = in.fixed(1) != 0;
  if (!in.ok()) return false;
  for (std::size_t i = 0; i < count; ++i) {
    Parameter p;
    if (bound) {
      p.type = static_cast<std::uint16_t>(in.fixed(2));
      if (names) p.name = in.lenenc_text();
    } else {
      if (i >= types.size()) return false;  // nothing was ever bound
      p.type = types[i].type;
      p.name = types[i].name;
    }
    if (!in.ok()) return false;
    p.null = (static_cast<unsigned char>(nulls[i / 8]) >> (i % 8) & 1U) != 0;
    out.push_back(std::move(p));
  }
  for (std::size_t i = 0; i < count; ++i) {
    auto& p = out[i];
    if (i < long_data.size() && long_data[i]) {
      p.null = false;
      put_lenenc_text(p.value, *long_data[i]);
      continue;
    }
    if (p.null) continue;
    const auto size = value_size(p.type, in.rest());
    if (!size) return false;
    p.value = in.text(*size);
  }
  return in.ok();
}

void put_parameters(std::string& out, const std::vector<Parameter>& parameters) {
  if (parameters.empty()) return;
  std::string nulls((parameters.size() + 7) / 8, '\0');
  for (std::size_t i = 0; i < parameters.size(); ++i)
    if (parameters[i].null) nulls[i / 8] = static_cast<char>(nulls[i / 8] | 1 << (i % 8));
  out += nulls;
  out += '\1';
  for (const auto& p : parameters) {
    put_fixed(out, p.type, 2);
    put_lenenc_text(out, p.name);
  }
  for (const auto& p : parameters)
    if (!p.null) out += p.value;
}

}  // namespace

Frame next_packet(std::string_view in, std::size_t most, Packet& out) {
  if (in.size() < 4) return Frame::partial;
  Reader r(in);
  const auto length = r.fixed(3);
  if (length > most) return Frame::bad;
  out.sequence = static_cast<std::uint8_t>(r.fixed(1));
  if (in.size() < length + 4) return Frame::partial;
  out.payload = in.substr(4, length);
  out.size = length + 4;
  return Frame::whole;
}

void put_packet(std::string& out, std::uint8_t& sequence, std::string_view payload) {
  put_fixed(out, payload.size(), 3);
  out += static_cast<char>(sequence++);
  out += payload;
}

std::uint64_t Reader::fixed(int bytes) {
  const auto part = text(static_cast<std::uint64_t>(bytes));
  std::uint64_t v = 0;
  for (std::size_t i = part.size(); i-- > 0;) v = v << 8U | static_cast<unsigned char>(part[i]);
  return v;
}

std::uint64_t Reader::lenenc() {
  const auto first = fixed(1);
  if (first < 0xfb) return first;
  if (first == 0xfc) return fixed(2);
  if (first == 0xfd) return fixed(3);
  if (first == 0xfe) return fixed(8);
  ok_ = false;
  return 0;
}

std::string_view Reader::text(std::uint64_t length) {
  if (!ok_ || length > in_.size()) {
    ok_ = false;
    return {};
  }
  const auto part = in_.substr(0, length);
  in_.remove_prefix(length);
  return part;
}

std::string_view Reader::zero_text() {
  const auto end = in_.find('\0');
  if (end == std::string_view::npos) ok_ = false;
  const auto part = text(end);
  text(1);
  return part;
}

void put_fixed(std::string& out, std::uint64_t value, int bytes) {
  for (int i = 0; i < bytes; ++i) out += static_cast<char>(value >> (8U * static_cast<unsigned>(i)) & 0xffU);
}

void put_lenenc(std::string& out, std::uint64_t value) {
  if (value < 0xfb) return put_fixed(out, value, 1);
  const int bytes = value <= 0xffff ? 2 : value <= 0xffffff ? 3 : 8;
  out += static_cast<char>(bytes == 2 ? 0xfc : bytes == 3 ? 0xfd : 0xfe);
  put_fixed(out, value, bytes);
}

void put_lenenc_text(std::string& out, std::string_view text) {
  put_lenenc(out, text.size());
  out += text;
}

std::string greeting(std::uint32_t connection_id, std::uint32_t capabilities) {
  // No password is asked for, so the scramble guards nothing and may be fixed.
  constexpr std::string_view scramble = "cedarringcedarringce";
  std::string out("\x0a");
  out += "8.0.34-cedarring";
  out += '\0';
  put_fixed(out, connection_id, 4);
  out += scramble.substr(0, 8);
  out += '\0';
  put_fixed(out, capabilities & 0xffffU, 2);
  out += '\x2d';  // utf8mb4
  put_fixed(out, status_autocommit, 2);
  put_fixed(out, capabilities >> 16U, 2);
  out += static_cast<char>(scramble.size() + 1);
  out.append(10, '\0');
  out += scramble.substr(8);
  out += '\0';
  out += auth_plugin;
  out += '\0';
  return out;
}

bool parse_greeting(std::string_view payload, Greeting& out) {
  Reader in(payload);
  if (in.fixed(1) != 10) return false;
  in.zero_text();
  in.text(4 + 8 + 1);
  out.capabilities = static_cast<std::uint32_t>(in.fixed(2));
  if (!in.ok()) return false;
  in.text(1 + 2);
  out.capabilities |= static_cast<std::uint32_t>(in.fixed(2)) << 16U;
  return in.ok();
}

std::string handshake_response(std::uint32_t capabilities, std::string_view user, std::string_view database) {
  std::string out;
  put_fixed(out, capabilities, 4);
  put_fixed(out, 1U << 24U, 4);
  out += '\x2d';
  out.append(23, '\0');
  out += user;
  out += '\0';
  out += '\0';  // no password
  out += database;
  out += '\0';
  out += auth_plugin;
  out += '\0';
  return out;
}

bool parse_handshake_response(std::string_view payload, HandshakeResponse& out) {
  Reader in(payload);
  out.capabilities = static_cast<std::uint32_t>(in.fixed(4));
  in.text(4 + 1 + 23);
  out.user = in.zero_text();
  return in.ok() && (out.capabilities & protocol_41) != 0;
}

bool parse_ok(std::string_view payload, Ok& out) {
  Reader in(payload);
  const auto header = in.fixed(1);
  if (header != 0 && header != 0xfe) return false;
  out = {};
  out.affected_rows = in.lenenc();
  out.last_insert_id = in.lenenc();
  out.status = static_cast<std::uint16_t>(in.fixed(2));
  out.warnings = static_cast<std::uint16_t>(in.fixed(2));
  if (!in.ok()) return false;
  if (in.rest().empty()) return true;
  in.lenenc_text();  // the human-readable status
  if ((out.status & status_session_changed) == 0) return in.ok();
  Reader state(in.lenenc_text());
  while (in.ok() && state.ok() && !state.rest().empty()) {
    const auto type = state.fixed(1);
    Reader item(state.lenenc_text());
    if (type != 0) continue;  // of system variables alone
    const auto name = item.lenenc_text(), value = item.lenenc_text();
    if (!item.ok()) return false;
    out.variables.emplace_back(name, value);
  }
  return in.ok() && state.ok();
}

std::string ok_packet(const Ok& ok, unsigned char header, bool track) {
  std::string out(1, static_cast<char>(header));
  put_lenenc(out, ok.affected_rows);
  put_lenenc(out, ok.last_insert_id);
  track = track && !ok.variables.empty();
  const auto kept = static_cast<std::uint16_t>(ok.status & ~status_session_changed);
  put_fixed(out, track ? kept | status_session_changed : kept, 2);
  put_fixed(out, ok.warnings, 2);
  if (!track) return out;
  std::string state;
  for (const auto& [name, value] : ok.variables) {
    std::string item;
    put_lenenc_text(item, name);
    put_lenenc_text(item, value);
    state += '\0';
    put_lenenc_text(state, item);
  }
  put_lenenc_text(out, "");
  put_lenenc_text(out, state);
  return out;
}

std::string eof_packet(std::uint16_t status) {
  std::string out("\xfe");
  put_fixed(out, 0, 2);
  put_fixed(out, status & ~status_session_changed, 2);
  return out;
}

bool parse_error(std::string_view payload, Error& out) {
  Reader in(payload);
  if (in.fixed(1) != 0xff) return false;
  out.code = static_cast<std::uint16_t>(in.fixed(2));
  if (!in.ok()) return false;
  out.state = "HY000";
  if (!in.rest().empty() && in.rest()[0] == '#') {
    in.text(1);
    out.state = in.text(5);
  }
  out.message = in.rest();
  return in.ok();
}

std::string error_packet(const Error& error) {
  std::string out("\xff");
  put_fixed(out, error.code, 2);
  out += '#';
  out += error.state;
  out += error.message;
  return out;
}

Outcome outcome_of(const Error& error) {
  switch (error.code) {
    case 1290:
    case 1792:
    case 1836:
      return Outcome::too_stale;  // read-only: this is no primary
    case 1040:
    case 1203:
    case 3168:
      return Outcome::full;  // too many connections, not available: never ran
    case 1243:
      return Outcome::not_sent;  // it does not know the statement: never ran
    default:
      return error.state == "72000" ? Outcome::too_stale : Outcome::error;  // too far behind
  }
}

std::optional<std::size_t> value_size(std::uint16_t type, std::string_view in) {
  std::uint64_t size = 0;
  switch (type & type_mask) {
    case 0x06:
      return 0;  // NULL
    case 0x01:
      size = 1;
      break;  // TINY
    case 0x02:
    case 0x0d:
      size = 2;
      break;  // SHORT, YEAR
    case 0x03:
    case 0x04:
    case 0x09:
      size = 4;
      break;  // LONG, FLOAT, INT24
    case 0x05:
    case 0x08:
      size = 8;
      break;  // DOUBLE, LONGLONG
    case 0x07:
    case 0x0a:
    case 0x0b:
    case 0x0c:  // TIMESTAMP, DATE, TIME, DATETIME
      if (in.empty()) return std::nullopt;
      size = 1U + static_cast<unsigned char>(in[0]);
      break;
    case 0x00:
    case 0x0f:
    case 0x10:
    case 0xf5:
    case 0xf6:
    case 0xf7:
    case 0xf8:
    case 0xf9:
    case 0xfa:
    case 0xfb:
    case 0xfc:
    case 0xfd:
    case 0xfe:
    case 0xff: {  // DECIMAL, strings, blobs, JSON, GEOMETRY
      Reader r(in);
      const auto length = r.lenenc();
      if (!r.ok() || length > r.rest().size()) return std::nullopt;
      return in.size() - r.rest().size() + length;
    }
    default:
      return std::nullopt;
  }
  if (size > in.size()) return std::nullopt;
  return size;
}

std::optional<std::string> text_of(const Parameter& p) {
  if (p.null || (p.type & type_mask) == 0x06) return std::nullopt;
  Reader r(p.value);
  if (whole_type(p.type)) {
    const auto bytes = static_cast<int>(p.value.size());
    const auto raw = r.fixed(bytes);
    const auto unused = static_cast<unsigned>(64 - 8 * bytes);
    if ((p.type & unsigned_flag) != 0) return std::to_string(raw);
    return std::to_string(static_cast<std::int64_t>(raw << unused) >> unused);
  }
  if (const auto type = p.type & type_mask; type != 0x0f && type < 0xf9) return std::nullopt;
  const auto text = r.lenenc_text();
  if (!r.ok()) return std::nullopt;
  return std::string(text);
}

bool parse_execute(std::string_view payload, bool attributes, std::size_t placeholders,
                   const std::vector<Parameter>& types,
                   const std::vector<std::optional<std::string>>& long_data, Execute& out) {
  Reader in(payload);
  in.text(1);
  out.statement = static_cast<std::uint32_t>(in.fixed(4));
  out.flags = static_cast<unsigned char>(in.fixed(1));
  in.fixed(4);
  if (!in.ok()) return false;
  std::uint64_t count = placeholders;
  const bool counted = attributes && (out.flags & 8U) != 0;
  if (counted) count = in.lenenc();
  // Each parameter takes more than a bit of the packet: guards against counts that are made up.
  if (!in.ok() || count < placeholders || count > placeholders + payload.size()) return false;
  return parse_parameters(in, count, attributes, types, long_data, out.parameters) && in.rest().empty();
}

std::string execute_packet(std::uint32_t statement, std::size_t placeholders,
                           const std::vector<Parameter>& parameters) {
  std::string out(1, static_cast<char>(com_stmt_execute));
  put_fixed(out, statement, 4);
  const bool counted = parameters.size() > placeholders;
  out += counted ? '\x08' : '\0';
  put_fixed(out, 1, 4);
  if (counted) put_lenenc(out, parameters.size());
  put_parameters(out, parameters);
  return out;
}

bool parse_query(std::string_view payload, bool attributes, Query& out) {
  Reader in(payload);
  in.text(1);
  out.attributes.clear();
  if (attributes) {
    const auto count = in.lenenc();
    const auto sets = in.lenenc();
    if (!in.ok() || sets != 1 || count > payload.size()) return false;
    if (!parse_parameters(in, count, true, {}, {}, out.attributes)) return false;
  }
  out.sql = in.rest();
  return in.ok();
}

std::string query_packet(const std::vector<Parameter>& attributes, std::string_view sql) {
  std::string out(1, static_cast<char>(com_query));
  put_lenenc(out, attributes.size());
  put_lenenc(out, 1);
  put_parameters(out, attributes);
  out += sql;
  return out;
}

Shape shape_of(std::string_view sql) {
  Shape shape;
  bool ended = false;  // a semicolon has come
  for (std::size_t i = 0; i < sql.size(); ++i) {
    const char c = sql[i];
    const char next = i + 1 < sql.size() ? sql[i + 1] : '\0';
    if (c == '#' ||
        (c == '-' && next == '-' && (i + 2 >= sql.size() || static_cast<unsigned char>(sql[i + 2]) <= ' '))) {
      i = std::min(sql.find('\n', i), sql.size());
    } else if (c == '/' && next == '*') {
      const auto end = sql.find("*/", i + 2);
      if (end == std::string_view::npos) return shape.whole = false, shape;
      i = end + 1;
    } else if (c == ';') {
      ended = true;
    } else if (static_cast<unsigned char>(c) > ' ') {
      shape.several = shape.several || ended;
      if (c == '?') ++shape.placeholders;
      if (c != '\'' && c != '"' && c != '`') continue;
      for (++i; i < sql.size(); ++i)
        if (sql[i] == '\\' && c != '`')
          ++i;
        else if (sql[i] == c)
          break;  // a doubled quote opens the next piece at once
      if (i >= sql.size()) return shape.whole = false, shape;
    }
  }
  return shape;
}

}  // namespace cedarring::wire::mysql
