#include "wire/pg.h"

#include <algorithm>

namespace cedarring::wire::pg {
namespace {

constexpr std::size_t max_startup_size = 10000;  // bytes; the limit of PostgreSQL itself
constexpr char no_type = 0;                      // of a StartupMessage
constexpr std::uint32_t protocol_major = 3;      // the upper half of a protocol version
// Sizes in bytes.
constexpr std::size_t length_size = 4;        // of a length field
constexpr std::size_t column_count_size = 2;  // of the number of columns
constexpr std::size_t startup_code_size = 4;  // of the protocol version, or the code in its place
// Message header, number of columns, length of the first column.
constexpr std::size_t row_header_size = message_header_size + column_count_size + length_size;

// Codes in place of a protocol version in the first message of a client.
constexpr std::uint32_t cancel_request_code = 80877102;
constexpr std::uint32_t ssl_request_code = 80877103;
constexpr std::uint32_t gss_request_code = 80877104;

/// The number in the first four bytes of `in`, in network byte order.
std::uint32_t read_u32(std::string_view in) {
  std::uint32_t value = 0;
  for (int i = 0; i < 4; ++i) value = value << 8U | static_cast<unsigned char>(in[i]);
  return value;
}

void put_u32(std::string& out, std::uint32_t value) {
  for (int shift = 24; shift >= 0; shift -= 8)
    out += static_cast<char>(value >> static_cast<unsigned>(shift) & 0xffU);
}

void put_cstring(std::string& out, std::string_view text) {
  out += text;
  out += '\0';
}

void put_message(std::string& out, char type, std::string_view body) {
  if (type != no_type) out += type;
  put_u32(out, static_cast<std::uint32_t>(body.size() + length_size));
  out += body;
}

/// Whether `in` starts with the number of columns 1.
bool counts_one_column(std::string_view in) {
  return in.size() >= column_count_size && in[0] == 0 && in[1] == 1;
}

}  // namespace

FrameStatus next_message(std::string_view in, std::size_t max_length, Message& out) {
  if (in.size() < message_header_size) return FrameStatus::partial;
  const auto length = read_u32(in.substr(1));
  if (length < length_size || length > max_length) return FrameStatus::malformed;
  const std::size_t size = length + 1U;  // with the type byte
  if (in.size() < size) return FrameStatus::partial;
  out = {in[0], in.substr(message_header_size, length - length_size), size};
  return FrameStatus::complete;
}

std::optional<std::size_t> long_query_size(std::string_view in, std::size_t threshold,
                                           std::size_t max_length) {
  if (in.size() < message_header_size || in[0] != message_type::query) return std::nullopt;
  const std::size_t length = read_u32(in.substr(1));
  if (length <= threshold || length > max_length) return std::nullopt;
  return length - length_size;
}

std::optional<std::size_t> long_row_size(std::string_view in, std::size_t threshold, std::size_t max_size) {
  if (in.size() < row_header_size || in[0] != message_type::data_row) return std::nullopt;
  const std::size_t size = std::size_t{read_u32(in.substr(1))} + 1;  // with the type byte
  if (size <= threshold || size > max_size || !counts_one_column(in.substr(message_header_size)))
    return std::nullopt;
  const std::size_t column_size = read_u32(in.substr(message_header_size + column_count_size));
  if (column_size != size - row_header_size) return std::nullopt;
  return size;
}

bool may_begin_long_row(std::string_view in, std::size_t threshold, std::size_t max_size) {
  if (in.size() < message_header_size || in.size() >= row_header_size || in[0] != message_type::data_row)
    return false;
  const std::size_t size = std::size_t{read_u32(in.substr(1))} + 1;  // with the type byte
  return size > threshold && size <= max_size;
}

std::size_t missing_bytes_after(std::size_t missing, std::string_view bytes) {
  while (bytes.size() > missing) {
    bytes.remove_prefix(missing);
    if (bytes.size() < message_header_size) return 0;
    missing = std::size_t{read_u32(bytes.substr(1))} + 1;  // with the type byte
  }
  return missing - bytes.size();
}

FrameStatus next_startup(std::string_view in, Startup& out) {
  if (in.size() < length_size) return FrameStatus::partial;
  const auto length = read_u32(in);
  if (length < length_size + startup_code_size || length > max_startup_size) return FrameStatus::malformed;
  if (in.size() < length) return FrameStatus::partial;
  const auto code = read_u32(in.substr(length_size));
  out.size = length;
  if (code == ssl_request_code)
    out.kind = StartupKind::ssl;
  else if (code == gss_request_code)
    out.kind = StartupKind::gss;
  else if (code == cancel_request_code)
    out.kind = StartupKind::cancel;
  else
    out.kind = code >> 16U == protocol_major ? StartupKind::startup : StartupKind::unknown;
  return FrameStatus::complete;
}

std::optional<std::string_view> read_cstring(std::string_view& body) {
  const auto end = body.find('\0');
  if (end == std::string_view::npos) return std::nullopt;
  const auto text = body.substr(0, end);
  body.remove_prefix(end + 1);
  return text;
}

std::string_view error_response_field(std::string_view body, char field) {
  std::string_view found;
  while (!body.empty() && body[0] != '\0') {
    const char type = body[0];
    body.remove_prefix(1);
    const auto text = read_cstring(body);
    if (!text) return {};
    if (type == field) found = *text;
  }
  return body.size() == 1 ? found : std::string_view();
}

bool is_sqlstate(std::string_view code) {
  return code.size() == 5 && std::all_of(
                                 code.begin(), code.end(),
                                 [](char c) { return (c >= '0' && c <= '9') || (c >= 'A' && c <= 'Z'); });
}

bool has_one_column(std::string_view body) {
  constexpr std::size_t attributes_size = 18;  // table, column, type, size, modifier, format
  if (!counts_one_column(body)) return false;
  body.remove_prefix(column_count_size);
  return read_cstring(body) && body.size() == attributes_size;
}

std::optional<std::string_view> single_column_value(std::string_view body) {
  constexpr std::size_t value_offset = column_count_size + length_size;
  if (body.size() < value_offset || !counts_one_column(body)) return std::nullopt;
  const auto length = read_u32(body.substr(column_count_size));
  if (length != body.size() - value_offset)
    return std::nullopt;  // the length of null is 0xffffffff: never equal
  return body.substr(value_offset);
}

Outcome outcome_of(std::string_view code) {
  if (code == sqlstate::read_only_transaction || code == sqlstate::snapshot_too_old)
    return Outcome::too_stale;
  if (code == sqlstate::too_many_connections || code == sqlstate::cannot_connect_now) return Outcome::full;
  return Outcome::error;
}

void put_startup(std::string& out, std::string_view user, std::string_view database) {
  std::string body;
  put_u32(body, protocol_major << 16U);
  put_cstring(body, "user");
  put_cstring(body, user);
  put_cstring(body, "database");
  put_cstring(body, database);
  body += '\0';
  put_message(out, no_type, body);
}

void put_query(std::string& out, std::string_view sql) {
  std::string body;
  put_cstring(body, sql);
  put_message(out, message_type::query, body);
}

void put_query_header(std::string& out, std::size_t size) {
  out += message_type::query;
  put_u32(out, static_cast<std::uint32_t>(length_size + size + 1));  // with the zero byte
}

void put_startup_response(std::string& out) {
  put_message(out, message_type::authentication, std::string_view("\0\0\0\0", 4));
  for (const auto& [name, value] : {std::pair<std::string_view, std::string_view>{"server_version", "15.0"},
                                    {"client_encoding", "UTF8"},
                                    {"standard_conforming_strings", "on"}}) {
    std::string body;
    put_cstring(body, name);
    put_cstring(body, value);
    put_message(out, message_type::parameter_status, body);
  }
  put_ready_for_query(out);
}

void put_ready_for_query(std::string& out) { put_message(out, message_type::ready_for_query, "I"); }
void put_empty_query_response(std::string& out) { put_message(out, message_type::empty_query_response, {}); }

void put_command_complete(std::string& out, std::string_view tag) {
  std::string body;
  put_cstring(body, tag);
  put_message(out, message_type::command_complete, body);
}

void put_error_response(std::string& out, bool fatal, std::string_view code, std::string_view message,
                        std::string_view detail) {
  std::string body;
  const auto field = [&](char type, std::string_view text) {
    body += type;
    put_cstring(body, text);
  };
  field('S', fatal ? "FATAL" : "ERROR");
  field('V', fatal ? "FATAL" : "ERROR");
  field('C', code);
  field('M', message);
  if (!detail.empty()) field('D', detail);
  body += '\0';
  put_message(out, message_type::error_response, body);
}

}  // namespace cedarring::wire::pg
