// The two front ends of the gateway program with one client each, for tests that hold for both.
#pragma once

#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <type_traits>

#include "support/stand_in.h"

namespace cedarring::test {

inline constexpr unsigned mysql_unknown_error = 1105;       // the request has failed and may have run
inline constexpr unsigned mysql_server_unavailable = 3168;  // the request has been refused

/// Returns a changed configuration.
using ConfigChange = std::function<std::string(std::string)>;
inline std::string unchanged(std::string config) { return config; }

/// A PostgreSQL front end with its client.
class PgFrontEnd {
 public:
  using StandIn = PgStandIn;
  /// `known`: the member list; `adjust`: changes config_json().
  explicit PgFrontEnd(const std::string& known, const ConfigChange& adjust = unchanged)
      : program_(adjust(config_json("127.0.0.1:1", known))) {}
  void send(const std::string& sql) { client_.socket.send(pg_query(sql)); }
  Socket& socket() { return client_.socket; }
  /// Reads the answer; whether it is a refusal.
  bool refused() { return client_.read_answer().code == "53300"; }
  /// Reads the answer; whether the request has failed and may have run.
  bool failed() { return client_.read_answer().code == "58000"; }
  /// Reads the answer; whether it is the value of this host.
  bool served_by(const Host& host) { return client_.read_answer().value == "from " + host.address(); }
  /// Reads the answer; its value, or nothing if there is none.
  std::string read_value() { return client_.read_answer().value; }

 private:
  GatewayProcess program_;
  PgClient client_{program_.pg()};
};

/// A MySQL front end with its client.
class MysqlFrontEnd {
 public:
  using StandIn = MysqlStandIn;
  /// As for PgFrontEnd.
  explicit MysqlFrontEnd(const std::string& known, const ConfigChange& adjust = unchanged)
      : program_(adjust(config_json("127.0.0.1:1", list_of(1, {}))), mysql_json(known)) {}
  /// Prepares the statement and executes it.
  void send_prepared(const std::string& sql) {
    client_.command(wire::mysql::execute_packet(client_.prepare(sql), 0, {}));
  }
  void send(const std::string& sql) { client_.command(wire::mysql::query_packet({}, sql)); }
  Socket& socket() { return client_.socket; }
  bool refused() { return client_.read_error().code == mysql_server_unavailable; }
  bool failed() { return client_.read_error().code == mysql_unknown_error; }
  std::string read_value() {
    // Column count, column definition, row, end of the rows.
    for (int packet = 0; packet < 2; ++packet)
      if (!client_.read_packet()) return {};
    const auto row = client_.read_packet();
    if (!row || !client_.read_packet()) return {};
    wire::mysql::PacketReader reader(*row);
    return std::string(reader.lenenc_text());
  }
  bool served_by(const Host& host) {
    std::string row;
    wire::mysql::put_lenenc_text(row, "from " + host.address());
    for (int packet = 0; packet < 3; ++packet)  // column count, column definition, row
      if (client_.read_packet() == row) return true;
    return false;
  }

 private:
  GatewayProcess program_;
  MysqlRaw client_{program_.mysql()};
};

/// Names the front ends in the names of typed tests.
class FrontEndNames {
 public:
  template <class FrontEnd>
  static std::string GetName(int /*index*/) {
    return std::is_same_v<FrontEnd, PgFrontEnd> ? "Postgresql" : "Mysql";
  }
};
using FrontEnds = testing::Types<PgFrontEnd, MysqlFrontEnd>;

}  // namespace cedarring::test
