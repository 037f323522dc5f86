#include "wire/mysql.h"

#include <algorithm>

namespace cedarring::wire::mysql {
namespace {

constexpr std::string_view auth_plugin = "mysql_native_password";
// The parts of Parameter::type.
constexpr std::uint16_t type_mask = 0xff;
constexpr std::uint16_t unsigned_flag = 0x8000;

constexpr unsigned protocol_version = 10;
constexpr std::uint32_t max_client_packet = 1U << 24U;  // bytes, as a login announces it
constexpr std::size_t login_filler_size = 23;           // zero bytes after the character set in a login
constexpr std::size_t greeting_filler_size = 10;        // zero bytes before the rest of the scramble
constexpr std::size_t scramble_first_part_size = 8;     // the rest follows at the end of the greeting
constexpr std::size_t sql_state_size = 5;
constexpr std::uint64_t session_track_system_variables = 0;  // the type of an entry of the session state

// First bytes of length-encoded integers of 2, 3 and 8 bytes.
constexpr unsigned char lenenc_2_bytes = 0xfc;
constexpr unsigned char lenenc_3_bytes = 0xfd;
constexpr unsigned char lenenc_8_bytes = 0xfe;
// First bytes below this one are the value itself.
constexpr unsigned char lenenc_value_end = 0xfb;

bool is_integer_type(std::uint16_t type) {
  switch (type & type_mask) {
    case type_tiny:
    case type_short:
    case type_long:
    case type_longlong:
    case type_int24:
    case type_year:
      return true;
    default:
      return false;
  }
}

/// Parses the null bits, types, names (if `named`) and values of `count` parameters. `previous_parameters`
/// and `long_data` as for parse_execute().
bool parse_parameters(PacketReader& in, std::size_t count, bool named,
                      const std::vector<Parameter>& previous_parameters,
                      const std::vector<std::optional<std::string>>& long_data, std::vector<Parameter>& out) {
  out.clear();
  if (count == 0) return in.ok();
  const auto nulls = in.text((count + 7) / 8);
  const bool types_bound = in.little_endian(1) != 0;
  if (!in.ok()) return false;
  for (std::size_t i = 0; i < count; ++i) {
    Parameter parameter;
    if (types_bound) {
      parameter.type = static_cast<std::uint16_t>(in.little_endian(2));
      if (named) parameter.name = in.lenenc_text();
    } else {
      if (i >= previous_parameters.size()) return false;  // its type was never bound
      parameter.type = previous_parameters[i].type;
      parameter.name = previous_parameters[i].name;
    }
    if (!in.ok()) return false;
    parameter.null = (static_cast<unsigned char>(nulls[i / 8]) >> (i % 8) & 1U) != 0;
    out.push_back(std::move(parameter));
  }
  for (std::size_t i = 0; i < count; ++i) {
    auto& parameter = out[i];
    if (i < long_data.size() && long_data[i]) {
      parameter.null = false;
      put_lenenc_text(parameter.value, *long_data[i]);
      continue;
    }
    if (parameter.null) continue;
    const auto size = encoded_value_size(parameter.type, in.rest());
    if (!size) return false;
    parameter.value = in.text(*size);
  }
  return in.ok();
}

/// Appends the null bits, types, names and values of the parameters.
void put_parameters(std::string& out, const std::vector<Parameter>& parameters) {
  if (parameters.empty()) return;
  std::string nulls((parameters.size() + 7) / 8, '\0');
  for (std::size_t i = 0; i < parameters.size(); ++i)
    if (parameters[i].null) nulls[i / 8] = static_cast<char>(nulls[i / 8] | 1 << (i % 8));
  out += nulls;
  out += '\1';  // the types follow
  for (const auto& parameter : parameters) {
    put_little_endian(out, parameter.type, 2);
    put_lenenc_text(out, parameter.name);
  }
  for (const auto& parameter : parameters)
    if (!parameter.null) out += parameter.value;
}

}  // namespace

FrameStatus next_packet(std::string_view in, std::size_t max_payload, Packet& out) {
  if (in.size() < packet_header_size) return FrameStatus::partial;
  PacketReader reader(in);
  const auto length = reader.little_endian(3);
  if (length > max_payload) return FrameStatus::malformed;
  out.sequence = static_cast<std::uint8_t>(reader.little_endian(1));
  if (in.size() < length + packet_header_size) return FrameStatus::partial;
  out.payload = in.substr(packet_header_size, length);
  out.size = length + packet_header_size;
  return FrameStatus::complete;
}

void put_packet(std::string& out, std::uint8_t& sequence, std::string_view payload) {
  put_little_endian(out, payload.size(), 3);
  out += static_cast<char>(sequence++);
  out += payload;
}

std::uint64_t PacketReader::little_endian(int bytes) {
  const auto part = text(static_cast<std::uint64_t>(bytes));
  std::uint64_t value = 0;
  for (std::size_t i = part.size(); i-- > 0;) value = value << 8U | static_cast<unsigned char>(part[i]);
  return value;
}

std::uint64_t PacketReader::lenenc() {
  const auto first = little_endian(1);
  if (first < lenenc_value_end) return first;
  if (first == lenenc_2_bytes) return little_endian(2);
  if (first == lenenc_3_bytes) return little_endian(3);
  if (first == lenenc_8_bytes) return little_endian(8);
  ok_ = false;
  return 0;
}

std::string_view PacketReader::text(std::uint64_t length) {
  if (!ok_ || length > in_.size()) {
    ok_ = false;
    return {};
  }
  const auto part = in_.substr(0, length);
  in_.remove_prefix(length);
  return part;
}

std::string_view PacketReader::null_terminated_text() {
  const auto end = in_.find('\0');
  if (end == std::string_view::npos) ok_ = false;
  const auto part = text(end);
  text(1);
  return part;
}

void put_little_endian(std::string& out, std::uint64_t value, int bytes) {
  for (int i = 0; i < bytes; ++i) out += static_cast<char>(value >> (8U * static_cast<unsigned>(i)) & 0xffU);
}

void put_lenenc(std::string& out, std::uint64_t value) {
  if (value < lenenc_value_end) return put_little_endian(out, value, 1);
  const int bytes = value <= 0xffff ? 2 : value <= 0xffffff ? 3 : 8;
  out += static_cast<char>(bytes == 2 ? lenenc_2_bytes : bytes == 3 ? lenenc_3_bytes : lenenc_8_bytes);
  put_little_endian(out, value, bytes);
}

void put_lenenc_text(std::string& out, std::string_view text) {
  put_lenenc(out, text.size());
  out += text;
}

std::string greeting(std::uint32_t connection_id, std::uint32_t capabilities) {
  // Clients log in without a password, so the scramble protects nothing and may be fixed.
  constexpr std::string_view scramble = "cedarringcedarringce";
  std::string out(1, static_cast<char>(protocol_version));
  out += "8.0.34-cedarring";
  out += '\0';
  put_little_endian(out, connection_id, 4);
  out += scramble.substr(0, scramble_first_part_size);
  out += '\0';
  put_little_endian(out, capabilities & 0xffffU, 2);
  out += static_cast<char>(charset_utf8mb4);
  put_little_endian(out, status_autocommit, 2);
  put_little_endian(out, capabilities >> 16U, 2);
  out += static_cast<char>(scramble.size() + 1);
  out.append(greeting_filler_size, '\0');
  out += scramble.substr(scramble_first_part_size);
  out += '\0';
  out += auth_plugin;
  out += '\0';
  return out;
}

bool parse_greeting(std::string_view payload, Greeting& out) {
  PacketReader in(payload);
  if (in.little_endian(1) != protocol_version) return false;
  in.null_terminated_text();                  // server version
  in.text(4 + scramble_first_part_size + 1);  // connection id, first part of the scramble, filler
  out.capabilities = static_cast<std::uint32_t>(in.little_endian(2));
  if (!in.ok()) return false;
  in.text(1 + 2);  // character set, status
  out.capabilities |= static_cast<std::uint32_t>(in.little_endian(2)) << 16U;
  return in.ok();
}

std::string handshake_response(std::uint32_t capabilities, std::string_view user, std::string_view database) {
  std::string out;
  put_little_endian(out, capabilities, 4);
  put_little_endian(out, max_client_packet, 4);
  out += static_cast<char>(charset_utf8mb4);
  out.append(login_filler_size, '\0');
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
  PacketReader in(payload);
  out.capabilities = static_cast<std::uint32_t>(in.little_endian(4));
  in.text(4 + 1 + login_filler_size);  // maximum packet size, character set, filler
  out.user = in.null_terminated_text();
  return in.ok() && (out.capabilities & protocol_41) != 0;
}

bool parse_ok(std::string_view payload, Ok& out) {
  PacketReader in(payload);
  const auto header = in.little_endian(1);
  if (header != header_ok && header != header_eof) return false;
  out = {};
  out.affected_rows = in.lenenc();
  out.last_insert_id = in.lenenc();
  out.status = static_cast<std::uint16_t>(in.little_endian(2));
  out.warnings = static_cast<std::uint16_t>(in.little_endian(2));
  if (!in.ok()) return false;
  if (in.rest().empty()) return true;
  in.lenenc_text();  // the human-readable status
  if ((out.status & status_session_changed) == 0) return in.ok();
  PacketReader state(in.lenenc_text());
  while (in.ok() && state.ok() && !state.rest().empty()) {
    const auto type = state.little_endian(1);
    PacketReader item(state.lenenc_text());
    if (type != session_track_system_variables) continue;
    const auto name = item.lenenc_text();
    const auto value = item.lenenc_text();
    if (!item.ok()) return false;
    out.variables.emplace_back(name, value);
  }
  return in.ok() && state.ok();
}

std::string ok_packet(const Ok& ok, unsigned char header, bool track_session) {
  std::string out(1, static_cast<char>(header));
  put_lenenc(out, ok.affected_rows);
  put_lenenc(out, ok.last_insert_id);
  const bool session_changed = track_session && !ok.variables.empty();
  const auto base_status = static_cast<std::uint16_t>(ok.status & ~status_session_changed);
  put_little_endian(out, session_changed ? base_status | status_session_changed : base_status, 2);
  put_little_endian(out, ok.warnings, 2);
  if (!session_changed) return out;
  std::string state;
  for (const auto& [name, value] : ok.variables) {
    std::string item;
    put_lenenc_text(item, name);
    put_lenenc_text(item, value);
    state += static_cast<char>(session_track_system_variables);
    put_lenenc_text(state, item);
  }
  put_lenenc_text(out, "");
  put_lenenc_text(out, state);
  return out;
}

std::string eof_packet(std::uint16_t status) {
  std::string out("\xfe");
  put_little_endian(out, 0, 2);
  put_little_endian(out, status & ~status_session_changed, 2);
  return out;
}

bool parse_error(std::string_view payload, Error& out) {
  PacketReader in(payload);
  if (in.little_endian(1) != header_error) return false;
  out.code = static_cast<std::uint16_t>(in.little_endian(2));
  if (!in.ok()) return false;
  out.state = "HY000";
  if (!in.rest().empty() && in.rest()[0] == '#') {
    in.text(1);
    out.state = in.text(sql_state_size);
  }
  out.message = in.rest();
  return in.ok();
}

std::string error_packet(const Error& error) {
  std::string out("\xff");
  put_little_endian(out, error.code, 2);
  out += '#';
  out += error.state;
  out += error.message;
  return out;
}

Outcome outcome_of(const Error& error) {
  switch (error.code) {
    case er_option_prevents_statement:
    case er_read_only_transaction:
    case er_read_only_mode:
      return Outcome::too_stale;  // read-only: not the primary
    case er_too_many_connections:
    case er_too_many_user_connections:
    case er_server_unavailable:
      return Outcome::full;  // too many connections or unavailable: the request has not run
    case er_unknown_statement:
      return Outcome::not_sent;  // unknown prepared statement: the request has not run
    default:
      // 72000: the replica is further behind than the request allows.
      return error.state == "72000" ? Outcome::too_stale : Outcome::error;
  }
}

std::optional<std::size_t> encoded_value_size(std::uint16_t type, std::string_view in) {
  std::uint64_t size = 0;
  switch (type & type_mask) {
    case type_null:
      return 0;
    case type_tiny:
      size = 1;
      break;
    case type_short:
    case type_year:
      size = 2;
      break;
    case type_long:
    case type_float:
    case type_int24:
      size = 4;
      break;
    case type_double:
    case type_longlong:
      size = 8;
      break;
    case type_timestamp:
    case type_date:
    case type_time:
    case type_datetime:
      if (in.empty()) return std::nullopt;
      size = 1U + static_cast<unsigned char>(in[0]);
      break;
    case type_decimal:
    case type_varchar:
    case type_bit:
    case type_json:
    case type_newdecimal:
    case type_enum:
    case type_set:
    case type_tiny_blob:
    case type_medium_blob:
    case type_long_blob:
    case type_blob:
    case type_var_string:
    case type_string:
    case type_geometry: {
      PacketReader reader(in);
      const auto length = reader.lenenc();
      if (!reader.ok() || length > reader.rest().size()) return std::nullopt;
      return in.size() - reader.rest().size() + length;
    }
    default:
      return std::nullopt;
  }
  if (size > in.size()) return std::nullopt;
  return size;
}

std::optional<std::string> text_value(const Parameter& parameter) {
  if (parameter.null || (parameter.type & type_mask) == type_null) return std::nullopt;
  PacketReader reader(parameter.value);
  if (is_integer_type(parameter.type)) {
    const auto bytes = static_cast<int>(parameter.value.size());
    const auto raw = reader.little_endian(bytes);
    const auto unused_bits = static_cast<unsigned>(64 - 8 * bytes);
    if ((parameter.type & unsigned_flag) != 0) return std::to_string(raw);
    // Shifting up and down extends the sign.
    return std::to_string(static_cast<std::int64_t>(raw << unused_bits) >> unused_bits);
  }
  const auto type = parameter.type & type_mask;
  const bool is_string = type == type_varchar || type >= type_tiny_blob;
  if (!is_string) return std::nullopt;
  const auto text = reader.lenenc_text();
  if (!reader.ok()) return std::nullopt;
  return std::string(text);
}

bool parse_execute(std::string_view payload, bool with_attributes, std::size_t placeholders,
                   const std::vector<Parameter>& previous_parameters,
                   const std::vector<std::optional<std::string>>& long_data, Execute& out) {
  PacketReader in(payload);
  in.text(1);  // the command
  out.statement = static_cast<std::uint32_t>(in.little_endian(4));
  out.flags = static_cast<unsigned char>(in.little_endian(1));
  in.little_endian(4);  // iteration count, always 1
  if (!in.ok()) return false;
  std::uint64_t count = placeholders;
  const bool has_count = with_attributes && (out.flags & execute_parameter_count_flag) != 0;
  if (has_count) count = in.lenenc();
  // Each parameter takes more than one bit of the packet: rejects forged counts before memory is allocated.
  if (!in.ok() || count < placeholders || count > placeholders + payload.size()) return false;
  return parse_parameters(in, count, with_attributes, previous_parameters, long_data, out.parameters) &&
         in.rest().empty();
}

std::string execute_packet(std::uint32_t statement, std::size_t placeholders,
                           const std::vector<Parameter>& parameters) {
  std::string out(1, static_cast<char>(com_stmt_execute));
  put_little_endian(out, statement, 4);
  const bool has_count = parameters.size() > placeholders;
  out += has_count ? static_cast<char>(execute_parameter_count_flag) : '\0';
  put_little_endian(out, 1, 4);  // iteration count
  if (has_count) put_lenenc(out, parameters.size());
  put_parameters(out, parameters);
  return out;
}

bool parse_query(std::string_view payload, bool with_attributes, Query& out) {
  PacketReader in(payload);
  in.text(1);  // the command
  out.attributes.clear();
  if (with_attributes) {
    const auto count = in.lenenc();
    const auto set_count = in.lenenc();
    if (!in.ok() || set_count != 1 || count > payload.size()) return false;
    if (!parse_parameters(in, count, true, {}, {}, out.attributes)) return false;
  }
  out.sql = in.rest();
  return in.ok();
}

std::string query_packet(const std::vector<Parameter>& attributes, std::string_view sql) {
  std::string out(1, static_cast<char>(com_query));
  put_lenenc(out, attributes.size());
  put_lenenc(out, 1);  // number of parameter sets
  put_parameters(out, attributes);
  out += sql;
  return out;
}

StatementShape scan_statement(std::string_view sql) {
  StatementShape shape;
  bool semicolon_seen = false;
  for (std::size_t i = 0; i < sql.size(); ++i) {
    const char c = sql[i];
    const char next = i + 1 < sql.size() ? sql[i + 1] : '\0';
    // Two hyphens begin a comment only if white space or the end of the statement follows.
    if (c == '#' ||
        (c == '-' && next == '-' && (i + 2 >= sql.size() || static_cast<unsigned char>(sql[i + 2]) <= ' '))) {
      i = std::min(sql.find('\n', i), sql.size());
    } else if (c == '/' && next == '*') {
      const auto end = sql.find("*/", i + 2);
      if (end == std::string_view::npos) {
        shape.terminated = false;
        return shape;
      }
      i = end + 1;
    } else if (c == ';') {
      semicolon_seen = true;
    } else if (static_cast<unsigned char>(c) > ' ') {
      shape.multiple = shape.multiple || semicolon_seen;
      if (c == '?') ++shape.placeholders;
      if (c != '\'' && c != '"' && c != '`') continue;
      for (++i; i < sql.size(); ++i)
        if (sql[i] == '\\' && c != '`')
          ++i;
        else if (sql[i] == c)
          break;  // a doubled quote ends one literal and opens another, with the same effect
      if (i >= sql.size()) {
        shape.terminated = false;
        return shape;
      }
    }
  }
  return shape;
}

}  // namespace cedarring::wire::mysql
