// What a MySQL client asked for, as the host connections pass it on.
#pragma once

#include <string>
#include <vector>

#include "broker/broker.h"
#include "wire/mysql.h"
#include "wire/statement.h"

namespace cedarring::wire {

inline constexpr std::size_t mysql_message_most = 200 * 1024;

struct MysqlWork : broker::RequestPayload {
  bool prepared = false;
  std::string sql;
  std::size_t placeholders = 0;
  std::vector<mysql::Parameter> parameters;  // of the statement first, then the attributes
  StatementInfo info;                        // views into sql and into texts
  std::vector<std::string> texts;
};

}  // namespace cedarring::wire
