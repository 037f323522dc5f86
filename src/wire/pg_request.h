// The request of a PostgreSQL client as it is forwarded to a host connection, and the size limits of the
// PostgreSQL protocol, in bytes.
#pragma once

#include <string>

#include "broker/broker.h"
#include "broker/memory_budget.h"
#include "wire/statement.h"

namespace cedarring::wire {

/// The largest message that is buffered whole: a statement with a value of 64 KiB in hexadecimal.
inline constexpr std::size_t pg_max_message_size = 200 * 1024;

/// Allowance for a row's header and a little more, beside its value.
inline constexpr std::size_t pg_row_overhead = 64;
/// Rows longer than this are streamed to the client; a row with a value of 64 KiB is still buffered whole.
inline constexpr std::size_t pg_stream_threshold = 64 * 1024 + pg_row_overhead;
/// The longest row accepted from a host: a value of 4 MiB in hexadecimal.
inline constexpr std::size_t pg_max_row_size = (std::size_t{8} << 20U) + pg_row_overhead;

/// Long statements are written to a host in chunks of this size.
inline constexpr std::size_t pg_write_chunk_size = 64 * 1024;
/// The longest statement: a value as long as the longest row's, and 64 KiB for the SQL around it.
inline constexpr std::size_t pg_max_statement_size = pg_max_row_size + 64 * 1024;

/// A simple query and its request fields.
struct PgRequest : broker::RequestPayload {
  std::string sql;
  StatementInfo info;                             // views into sql
  broker::MemoryBudget::Reservation reservation;  // memory of a long statement; empty for others
};

}  // namespace cedarring::wire
