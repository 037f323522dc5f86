// What a PostgreSQL client asked for, as the host connections pass it on.
#pragma once

#include <string>

#include "broker/broker.h"
#include "broker/memory_budget.h"
#include "wire/statement.h"

namespace cedarring::wire {

inline constexpr std::size_t pg_message_most =
    200 * 1024;  // a value of 64 KiB, spelt in hex, and its statement

/// Rows longer than this are passed on as they come: a value of 64 KiB is held until it is whole.
inline constexpr std::size_t pg_stream_from = 64 * 1024 + 64;
/// The longest row: a value of 4 MiB, spelt in hex.
inline constexpr std::size_t pg_row_most = (std::size_t{8} << 20U) + 64;

inline constexpr std::size_t pg_piece = 64 * 1024;  // of a long statement, written to a host at once
/// The longest statement: as long a value, and its words.
inline constexpr std::size_t pg_statement_most = pg_row_most + 64 * 1024;

struct PgWork : broker::RequestPayload {
  std::string sql;
  StatementInfo info;                      // views into sql
  broker::MemoryBudget::Reservation room;  // of a long one
};

}  // namespace cedarring::wire
