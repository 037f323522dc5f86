// MySQL protocol 4.1: packet framing, handshake, answers, parameters and statements. Pure functions over
// bytes; all sizes are in bytes. Parsed texts are views into the payload unless they are std::string.
// "lenenc" stands for the protocol's length-encoded integers and strings. The parse functions return false
// for a malformed payload.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cedarring/router.h"

namespace cedarring::wire::mysql {

/// Whether a buffer starts with a complete packet, with a part of one, or with one over the size limit.
enum class FrameStatus { complete, partial, malformed };

/// Capability flags (CLIENT_*).
enum Capability : std::uint32_t {
  long_password = 1U,
  found_rows = 1U << 1U,
  long_flag = 1U << 2U,
  connect_with_db = 1U << 3U,
  protocol_41 = 1U << 9U,
  ssl = 1U << 11U,
  transactions = 1U << 13U,
  secure_connection = 1U << 15U,
  ps_multi_results = 1U << 18U,
  plugin_auth = 1U << 19U,
  connect_attrs = 1U << 20U,
  plugin_auth_lenenc = 1U << 21U,
  session_track = 1U << 23U,
  deprecate_eof = 1U << 24U,
  query_attributes = 1U << 27U
};
/// Server status flags (SERVER_*).
inline constexpr std::uint16_t status_autocommit = 2;
inline constexpr std::uint16_t status_more_results = 8;
inline constexpr std::uint16_t status_session_changed = 0x4000;

/// The first byte of a command packet.
enum Command : unsigned char {
  com_quit = 0x01,
  com_init_db = 0x02,
  com_query = 0x03,
  com_ping = 0x0e,
  com_stmt_prepare = 0x16,
  com_stmt_execute = 0x17,
  com_stmt_send_long_data = 0x18,
  com_stmt_close = 0x19,
  com_stmt_reset = 0x1a,
  com_set_option = 0x1b,
  com_stmt_fetch = 0x1c,
  com_reset_connection = 0x1f
};

/// The first byte of the OK, EOF and ERR packets of an answer.
enum Header : unsigned char { header_ok = 0x00, header_eof = 0xfe, header_error = 0xff };

/// Types of columns and parameters (MYSQL_TYPE_*).
enum FieldType : std::uint16_t {
  type_decimal = 0x00,
  type_tiny = 0x01,
  type_short = 0x02,
  type_long = 0x03,
  type_float = 0x04,
  type_double = 0x05,
  type_null = 0x06,
  type_timestamp = 0x07,
  type_longlong = 0x08,
  type_int24 = 0x09,
  type_date = 0x0a,
  type_time = 0x0b,
  type_datetime = 0x0c,
  type_year = 0x0d,
  type_varchar = 0x0f,
  type_bit = 0x10,
  type_json = 0xf5,
  type_newdecimal = 0xf6,
  type_enum = 0xf7,
  type_set = 0xf8,
  type_tiny_blob = 0xf9,
  type_medium_blob = 0xfa,
  type_long_blob = 0xfb,
  type_blob = 0xfc,
  type_var_string = 0xfd,
  type_string = 0xfe,
  type_geometry = 0xff
};

/// Character sets, by collation id.
inline constexpr unsigned char charset_utf8mb4 = 0x2d;
inline constexpr unsigned char charset_binary = 63;

/// A framed packet; `payload` is a view into the parsed buffer.
struct Packet {
  std::uint8_t sequence = 0;
  std::string_view payload;
  std::size_t size = 0;  // of the whole packet, with its header
};
/// The size of a packet's header: payload length and sequence number.
inline constexpr std::size_t packet_header_size = 4;
/// Parses the packet at the front of `in`; malformed if its payload is longer than `max_payload`.
FrameStatus next_packet(std::string_view in, std::size_t max_payload, Packet& out);
/// Appends a packet and advances `sequence`.
void put_packet(std::string& out, std::uint8_t& sequence, std::string_view payload);

/// Reads values from the front of a payload. After a read past the end ok() is false and all reads return
/// zero or empty text.
class PacketReader {
 public:
  explicit PacketReader(std::string_view in) : in_(in) {}
  /// A little-endian integer of `bytes` bytes.
  std::uint64_t little_endian(int bytes);
  /// A length-encoded integer.
  std::uint64_t lenenc();
  /// A text of `length` bytes.
  std::string_view text(std::uint64_t length);
  /// A text preceded by its length as a length-encoded integer.
  std::string_view lenenc_text() { return text(lenenc()); }
  std::string_view null_terminated_text();
  /// What has not been read yet.
  [[nodiscard]] std::string_view rest() const { return in_; }
  [[nodiscard]] bool ok() const { return ok_; }

 private:
  std::string_view in_;
  bool ok_ = true;
};
/// Appends a little-endian integer of `bytes` bytes.
void put_little_endian(std::string& out, std::uint64_t value, int bytes);
/// Appends a length-encoded integer.
void put_lenenc(std::string& out, std::uint64_t value);
/// Appends a text after its length as a length-encoded integer.
void put_lenenc_text(std::string& out, std::string_view text);

// ---- handshake ----

/// The payload of the server's first packet.
std::string greeting(std::uint32_t connection_id, std::uint32_t capabilities);
/// The server's first packet, as far as the gateway needs it.
struct Greeting {
  std::uint32_t capabilities = 0;
};
/// False also for another protocol version than 10.
bool parse_greeting(std::string_view payload, Greeting& out);
/// The payload of the client's login without a password.
std::string handshake_response(std::uint32_t capabilities, std::string_view user, std::string_view database);
/// The client's login, as far as the gateway needs it.
struct HandshakeResponse {
  std::uint32_t capabilities = 0;
  std::string_view user;
};
/// False also for a client without protocol 4.1.
bool parse_handshake_response(std::string_view payload, HandshakeResponse& out);

// ---- answers ----

/// An OK packet.
struct Ok {
  std::uint64_t affected_rows = 0;
  std::uint64_t last_insert_id = 0;
  std::uint16_t status = status_autocommit;
  std::uint16_t warnings = 0;
  std::vector<std::pair<std::string_view, std::string_view>> variables;  // from session-state tracking
};
/// Parses an OK packet with either header (OK or EOF) from a peer that tracks session state.
bool parse_ok(std::string_view payload, Ok& out);
/// The payload of an OK packet with `header` as its first byte; `track_session`: with the session variables.
std::string ok_packet(const Ok& ok, unsigned char header, bool track_session);
/// The payload of an EOF packet.
std::string eof_packet(std::uint16_t status);

/// Error codes (ER_*) that the gateway sends or classifies.
enum ErrorCode : std::uint16_t {
  er_too_many_connections = 1040,
  er_bad_handshake = 1043,
  er_unknown_command = 1047,
  er_unknown_database = 1049,
  er_parse_error = 1064,
  er_empty_query = 1065,
  er_unknown_error = 1105,
  er_packet_too_large = 1153,
  er_too_many_user_connections = 1203,
  er_wrong_arguments = 1210,
  er_not_supported_yet = 1235,
  er_unknown_statement = 1243,
  er_option_prevents_statement = 1290,
  er_too_many_placeholders = 1390,
  er_too_many_prepared_statements = 1461,
  er_read_only_transaction = 1792,
  er_malformed_packet = 1835,
  er_read_only_mode = 1836,
  er_query_timeout = 3024,
  er_server_unavailable = 3168
};

/// An ERR packet; `state` is its SQLSTATE.
struct Error {
  std::uint16_t code = 0;
  std::string state;
  std::string message;
};
bool parse_error(std::string_view payload, Error& out);
/// The payload of an ERR packet.
std::string error_packet(const Error& error);
/// Classifies a host's error as the outcome of an attempt.
Outcome outcome_of(const Error& error);

// ---- parameters ----

/// A statement parameter or a query attribute.
struct Parameter {
  std::uint16_t type = 0;  // a FieldType and the unsigned flag
  std::string name;        // of a query attribute
  bool null = false;
  std::string value;  // as encoded on the wire, with its length if the type has one
};
/// The encoded size of the value of that type at the front of `in`; nothing for an unknown type or a
/// truncated value.
std::optional<std::size_t> encoded_value_size(std::uint16_t type, std::string_view in);
/// The value of a string parameter, or that of an integer in decimal; nothing for other types and null.
std::optional<std::string> text_value(const Parameter& parameter);

/// A COM_STMT_EXECUTE command.
struct Execute {
  std::uint32_t statement = 0;  // its id
  unsigned char flags = 0;
  std::vector<Parameter> parameters;  // of the statement first, then the query attributes
};
/// Flags of COM_STMT_EXECUTE.
inline constexpr unsigned char execute_cursor_flags = 7;
inline constexpr unsigned char execute_parameter_count_flag = 8;
/// Parses a COM_STMT_EXECUTE payload. `with_attributes`: both sides use query attributes; `placeholders`: the
/// number of parameters of the statement; `previous_parameters`: those of an earlier execution, whose types
/// apply if this one binds none; `long_data`: the values sent ahead by COM_STMT_SEND_LONG_DATA, by parameter
/// index.
bool parse_execute(std::string_view payload, bool with_attributes, std::size_t placeholders,
                   const std::vector<Parameter>& previous_parameters,
                   const std::vector<std::optional<std::string>>& long_data, Execute& out);
/// The payload of a COM_STMT_EXECUTE; the parameters beyond `placeholders` are query attributes.
std::string execute_packet(std::uint32_t statement, std::size_t placeholders,
                           const std::vector<Parameter>& parameters);
/// A COM_QUERY command.
struct Query {
  std::vector<Parameter> attributes;
  std::string_view sql;
};
/// Parses a COM_QUERY payload. `with_attributes`: both sides use query attributes.
bool parse_query(std::string_view payload, bool with_attributes, Query& out);
/// The payload of a COM_QUERY for a peer that uses query attributes.
std::string query_packet(const std::vector<Parameter>& attributes, std::string_view sql);

// ---- statements ----

/// The properties of a statement that can be told without parsing its SQL.
struct StatementShape {
  std::size_t placeholders = 0;  // question marks
  bool multiple = false;         // more than one statement
  bool terminated = true;        // every quote and comment is closed; false if the text ends inside one
};
/// Scans a statement, skipping quoted literals, quoted names and comments.
StatementShape scan_statement(std::string_view sql);

}  // namespace cedarring::wire::mysql
