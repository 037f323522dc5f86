// The request fields in a statement's trailing comment, such as /* id=1,c=view,d=480,cluster=2 */: the data
// that a client states about its request. Pure functions over bytes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "cedarring/router.h"

namespace cedarring::wire {

/// The request fields of one statement, each with its name in the comment. The texts are views into the
/// statement or into query attributes.
struct StatementInfo {
  std::string_view id;                      // id: the name of the request, unique among the open ones
  std::string_view class_name;              // c: the request class
  std::string_view tenant;                  // t
  std::string_view key;                     // k: the deduplication key, for the hosts
  std::optional<std::int64_t> deadline_ms;  // d: counted from the arrival of the statement's last byte
  std::optional<std::int64_t> group;        // cluster: the replica group
  std::optional<std::int64_t> after_ms;     // after: the position (Unix time) that a read has to see
  bool retry = false;                       // r: whether the client repeats an earlier request
  std::string_view session;                 // the session's key: the first '...' literal before the comment
  std::size_t deadline_offset = 0;          // of the digits of d in the statement, in bytes
  std::size_t deadline_length = 0;          // of these digits; 0 if d is not in the statement
};

/// Parses an unsigned decimal number of at most 18 digits, so that it cannot overflow; nothing for any other
/// text.
std::optional<std::int64_t> to_int(std::string_view text);

/// Parses the trailing comment. Returns false and names in `missing` the first field or value that is absent
/// or invalid.
bool parse_statement(std::string_view sql, StatementInfo& info, std::string& missing);

/// Sets the field that the comment calls `name` to `value`; false if the field is a number and `value` is
/// not. Unknown names are ignored.
bool set_request_field(std::string_view name, std::string_view value, StatementInfo& info);

/// The name of the first mandatory field that is absent or out of range; empty if all are valid.
std::string_view missing_field(const StatementInfo& info);

/// The statement with `deadline_ms` in place of the client's deadline.
std::string with_deadline(std::string_view sql, const StatementInfo& info, std::int64_t deadline_ms);

/// The session id of a session's key: its 64-bit FNV-1a hash, as sim/adapter.cpp computes it. Two sessions
/// with the same hash share a position, which only makes their reads stricter.
SessionId session_id_of(std::string_view key);

/// Stores a variable that a host reports with an answer, in either protocol: `recovery` (off on a primary, on
/// on a replica) or `lsn_ms` (its position, Unix time in ms). Other names and invalid values are ignored.
void apply_host_variable(std::string_view name, std::string_view value, AnswerMetadata& metadata);

}  // namespace cedarring::wire
