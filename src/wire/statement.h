// The contract data that a statement's trailing comment carries. Pure functions over bytes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "cedarring/router.h"

namespace cedarring::wire {

struct StatementInfo {
  std::string_view id, contract, tenant, key;
  std::optional<std::int64_t> deadline_ms;  // counted from the client's sending
  std::optional<std::int64_t> cluster;
  std::optional<std::int64_t> after_ms;  // Unix time
  bool retry = false;
  std::string_view session;                       // the quoted key
  std::size_t deadline_at = 0, deadline_len = 0;  // where the digits of d stand in the statement
};

/// A whole number of at most 18 digits.
std::optional<std::int64_t> to_int(std::string_view text);

/// Reads the trailing comment; what a malformed one lacks is named in `missing`, and false returned.
bool parse_statement(std::string_view sql, StatementInfo& info, std::string& missing);

/// Sets one name=value pair; false for a value of the wrong shape. Unknown names are passed over.
bool set_field(std::string_view name, std::string_view value, StatementInfo& info);

/// What is still missing from the contract data; empty if nothing is.
std::string_view lacking(const StatementInfo& info);

/// The statement with `ms` in place of the client's deadline.
std::string with_deadline(std::string_view sql, const StatementInfo& info, std::int64_t ms);

/// The session that a quoted key names: FNV-1a, as on the simulator's wire; a clash only makes a read
/// stricter.
SessionId session_of(std::string_view key);

/// What a host tells of itself beside an answer: `recovery` and `lsn_ms`, in either protocol.
void set_note(std::string_view name, std::string_view value, AnswerMetadata& note);

}  // namespace cedarring::wire
