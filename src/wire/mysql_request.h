// The request of a MySQL client as it is forwarded to a host connection.
#pragma once

#include <string>
#include <vector>

#include "broker/broker.h"
#include "wire/mysql.h"
#include "wire/statement.h"

namespace cedarring::wire {

/// The largest packet payload and the largest answer that are buffered, in bytes.
inline constexpr std::size_t mysql_max_message_size = 200 * 1024;

/// A COM_QUERY or an execution of a prepared statement, and its request fields.
struct MysqlRequest : broker::RequestPayload {
  bool prepared = false;  // an execution of a prepared statement
  std::string sql;
  std::size_t placeholders = 0;
  std::vector<mysql::Parameter> parameters;  // of the statement first, then the query attributes
  StatementInfo info;                        // views into sql and attribute_texts
  std::vector<std::string> attribute_texts;  // the values of the query attributes
  /// Bytes of the statement and its parameters.
  [[nodiscard]] std::size_t memory_size() const {
    std::size_t bytes = sql.size();
    for (const auto& parameter : parameters) bytes += sizeof parameter + parameter.value.size();
    for (const auto& text : attribute_texts) bytes += text.size();
    return bytes;
  }
};

}  // namespace cedarring::wire
