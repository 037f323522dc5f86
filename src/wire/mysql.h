// MySQL protocol 4.1: framing, handshake, answers, parameters, statements. Pure functions over bytes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cedarring/router.h"

namespace cedarring::wire::mysql {

enum class Frame { whole, partial, bad };

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
inline constexpr std::uint16_t status_autocommit = 2, status_more_results = 8,
                               status_session_changed = 0x4000;

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

struct Packet {
  std::uint8_t sequence = 0;
  std::string_view payload;
  std::size_t size = 0;  // of all of it
};
Frame next_packet(std::string_view in, std::size_t most, Packet& out);
void put_packet(std::string& out, std::uint8_t& sequence, std::string_view payload);

/// Takes values off the front of bytes. After a read past the end ok() is false and all reads give nothing.
class Reader {
 public:
  explicit Reader(std::string_view in) : in_(in) {}
  std::uint64_t fixed(int bytes);
  std::uint64_t lenenc();
  std::string_view text(std::uint64_t length);
  std::string_view lenenc_text() { return text(lenenc()); }
  std::string_view zero_text();
  [[nodiscard]] std::string_view rest() const { return in_; }
  [[nodiscard]] bool ok() const { return ok_; }

 private:
  std::string_view in_;
  bool ok_ = true;
};
void put_fixed(std::string& out, std::uint64_t value, int bytes);
void put_lenenc(std::string& out, std::uint64_t value);
void put_lenenc_text(std::string& out, std::string_view text);

// ---- handshake ----
std::string greeting(std::uint32_t connection_id, std::uint32_t capabilities);
struct Greeting {
  std::uint32_t capabilities = 0;
};
bool parse_greeting(std::string_view payload, Greeting& out);
std::string handshake_response(std::uint32_t capabilities, std::string_view user, std::string_view database);
struct HandshakeResponse {
  std::uint32_t capabilities = 0;
  std::string_view user;
};
bool parse_handshake_response(std::string_view payload, HandshakeResponse& out);

// ---- answers ----
struct Ok {
  std::uint64_t affected_rows = 0, last_insert_id = 0;
  std::uint16_t status = status_autocommit, warnings = 0;
  std::vector<std::pair<std::string_view, std::string_view>> variables;  // of session-state tracking
};
/// Of an OK packet with either header, from a peer that tracks session state.
bool parse_ok(std::string_view payload, Ok& out);
std::string ok_packet(const Ok& ok, unsigned char header, bool track);
std::string eof_packet(std::uint16_t status);

struct Error {
  std::uint16_t code = 0;
  std::string state, message;
};
bool parse_error(std::string_view payload, Error& out);
std::string error_packet(const Error& error);
/// What a host's error says of the attempt; `preparing`: it came before the request itself was sent.
Outcome outcome_of(const Error& error);

// ---- parameters ----
struct Parameter {
  std::uint16_t type = 0;  // with the unsigned flag
  std::string name;        // of a query attribute
  bool null = false;
  std::string value;  // as spelt on the wire, with its length if its type has one
};
/// A value's size on the wire by its type; nothing for a type that is not known or a value cut short.
std::optional<std::size_t> value_size(std::uint16_t type, std::string_view in);
/// The plain text of a string or whole number; nothing for other types.
std::optional<std::string> text_of(const Parameter& p);

struct Execute {
  std::uint32_t statement = 0;
  unsigned char flags = 0;
  std::vector<Parameter> parameters;  // of the statement first, then the attributes
};
/// `types` are those bound before; `long_data` holds what was sent ahead for each parameter.
bool parse_execute(std::string_view payload, bool attributes, std::size_t placeholders,
                   const std::vector<Parameter>& types,
                   const std::vector<std::optional<std::string>>& long_data, Execute& out);
std::string execute_packet(std::uint32_t statement, std::size_t placeholders,
                           const std::vector<Parameter>& parameters);
struct Query {
  std::vector<Parameter> attributes;
  std::string_view sql;
};
bool parse_query(std::string_view payload, bool attributes, Query& out);
std::string query_packet(const std::vector<Parameter>& attributes, std::string_view sql);

// ---- statements ----
struct Shape {
  std::size_t placeholders = 0;
  bool several = false;  // more than one statement
  bool whole = true;     // no quote or comment is left open
};
Shape shape_of(std::string_view sql);

}  // namespace cedarring::wire::mysql
