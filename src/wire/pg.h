// PostgreSQL protocol 3: message framing, parsing and serialization. Pure functions over bytes; all sizes are
// in bytes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "cedarring/router.h"

namespace cedarring::wire::pg {

/// The size of a message's header: the type byte and the length field, which counts itself and the body.
inline constexpr std::size_t message_header_size = 5;

/// Types of messages. Startup messages have none.
namespace message_type {
inline constexpr char authentication = 'R';
inline constexpr char backend_key_data = 'K';
inline constexpr char command_complete = 'C';
inline constexpr char data_row = 'D';
inline constexpr char empty_query_response = 'I';
inline constexpr char error_response = 'E';
inline constexpr char notice_response = 'N';
inline constexpr char parameter_status = 'S';
inline constexpr char query = 'Q';
inline constexpr char ready_for_query = 'Z';
inline constexpr char row_description = 'T';
inline constexpr char terminate = 'X';
}  // namespace message_type

/// SQLSTATEs that the gateway sends or classifies.
namespace sqlstate {
inline constexpr std::string_view protocol_violation = "08P01";
inline constexpr std::string_view read_only_transaction = "25006";
inline constexpr std::string_view invalid_catalog_name = "3D000";
inline constexpr std::string_view too_many_connections = "53300";
inline constexpr std::string_view cannot_connect_now = "57P03";
inline constexpr std::string_view system_error = "58000";
inline constexpr std::string_view snapshot_too_old = "72000";
}  // namespace sqlstate

/// Whether a buffer starts with a complete message, with a part of one, or with an invalid one.
enum class FrameStatus { complete, partial, malformed };
/// Kinds of the untyped first message of a client: a StartupMessage of protocol 3, a request for TLS or
/// GSSAPI encryption, a CancelRequest, or another protocol version.
enum class StartupKind { startup, ssl, gss, cancel, unknown };

/// A typed message; `body` is a view into the parsed buffer.
struct Message {
  char type = 0;
  std::string_view body;
  std::size_t size = 0;  // of the whole message, with type and length
};
/// The untyped first message of a client.
struct Startup {
  StartupKind kind = StartupKind::unknown;
  std::size_t size = 0;  // of the whole message
};

/// Parses the message at the front of `in`; malformed if its length field is less than 4 or more than
/// `max_length`.
FrameStatus next_message(std::string_view in, std::size_t max_length, Message& out);
/// The body size of the Query message at the front of `in`, if its length field is more than `threshold` and
/// at most `max_length`; otherwise nothing. Used for messages that are too long for the input buffer
/// (`threshold` is the longest that the buffer takes) and are read into separate memory. Only the header has
/// to be there.
std::optional<std::size_t> long_query_size(std::string_view in, std::size_t threshold,
                                           std::size_t max_length);
/// Parses the first message of a client, which has no type byte.
FrameStatus next_startup(std::string_view in, Startup& out);

/// The size of the DataRow at the front of `in`, if it is longer than `threshold`, at most `max_size` and
/// filled by a single column; otherwise nothing. Used for rows that are too long to be buffered whole
/// (`threshold` is the longest that is) and are streamed to the client. Only its first 11 bytes have to be
/// there: the header, the number of columns and the length of the first.
std::optional<std::size_t> long_row_size(std::string_view in, std::size_t threshold, std::size_t max_size);
/// Whether more input is needed to call long_row_size(): `in` starts with a DataRow longer than `threshold`
/// and at most `max_size`, but does not hold its first 11 bytes yet.
bool may_begin_long_row(std::string_view in, std::size_t threshold, std::size_t max_size);
/// How many bytes the last message lacks after `bytes`, if the one at their front lacked `missing`. `bytes`
/// must not end within the header of a message.
std::size_t missing_bytes_after(std::size_t missing, std::string_view bytes);
/// Removes a null-terminated string from the front of `body` and returns it; nothing if there is no
/// terminator.
std::optional<std::string_view> read_cstring(std::string_view& body);
/// One field of an ErrorResponse body ('C' for the SQLSTATE, 'M' for the message, 'S' for the severity);
/// empty if the field is absent or the body is malformed.
std::string_view error_response_field(std::string_view body, char field);
/// Whether `code` has the form of an SQLSTATE: five capital letters or digits.
bool is_sqlstate(std::string_view code);
/// Whether a RowDescription body describes exactly one column.
bool has_one_column(std::string_view body);
/// The value in a DataRow body with exactly one column; nothing for null, another number of columns or a
/// malformed body.
std::optional<std::string_view> single_column_value(std::string_view body);

/// Classifies the SQLSTATE of a host's ErrorResponse as the outcome of an attempt.
Outcome outcome_of(std::string_view code);

/// Appends a StartupMessage of protocol 3.0.
void put_startup(std::string& out, std::string_view user, std::string_view database);
/// Appends a Query message.
void put_query(std::string& out, std::string_view sql);
/// Appends the header of a Query message for a statement of `size` bytes; the statement and a zero byte
/// have to follow.
void put_query_header(std::string& out, std::size_t size);
/// Appends the response to a StartupMessage: AuthenticationOk, ParameterStatus messages, ReadyForQuery.
void put_startup_response(std::string& out);
/// Appends ReadyForQuery with the status "idle".
void put_ready_for_query(std::string& out);
/// Appends EmptyQueryResponse.
void put_empty_query_response(std::string& out);
/// Appends CommandComplete; `tag` names the command that has been executed.
void put_command_complete(std::string& out, std::string_view tag);
/// Appends an ErrorResponse of severity FATAL or ERROR; an empty `detail` is left out.
void put_error_response(std::string& out, bool fatal, std::string_view code, std::string_view message,
                        std::string_view detail = {});

}  // namespace cedarring::wire::pg
