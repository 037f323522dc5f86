// What a PostgreSQL client asked for, as the host connections pass it on.
#pragma once

#include <string>

#include "memory/broker.h"
#include "wire/statement.h"

namespace cedarring::wire {

inline constexpr std::size_t pg_message_most = 200 * 1024;  // a value of 64 KiB, spelt in hex, and its statement

struct PgWork : memory::Work {
  std::string sql;
  StatementInfo info;  // views into sql
};

/// FNV-1a, as for the simulator's wire; a clash only makes a read stricter.
inline SessionId session_of(std::string_view key) {
  std::uint64_t h = 14695981039346656037ULL;
  for (const char c : key) h = (h ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
  return SessionId{h};
}

}  // namespace cedarring::wire
