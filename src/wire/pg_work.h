// What a PostgreSQL client asked for, as the host connections pass it on.
#pragma once

#include <string>

#include "memory/broker.h"
#include "wire/statement.h"

namespace cedarring::wire {

inline constexpr std::size_t pg_message_most =
    200 * 1024;  // a value of 64 KiB, spelt in hex, and its statement

struct PgWork : memory::Work {
  std::string sql;
  StatementInfo info;  // views into sql
};

}  // namespace cedarring::wire
