// Connections of MySQL clients, with plain and prepared statements.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "wire/client.h"
#include "wire/mysql_request.h"

namespace cedarring::wire {

/// A MySQL client: answers the handshake, PREPARE and session commands itself and submits queries and
/// executions as requests. Transactions, multi-statements and cursors are rejected.
class MysqlClient : public Client {
 public:
  MysqlClient(ev::loop_ref loop, Fd fd, ClientSet& owner)
      : Client(loop, std::move(fd), owner, mysql_max_message_size) {}
  void reject_too_many_clients() override;
  void greet() override;
  /// A client with prepared statements cannot be transferred: only this process holds them.
  [[nodiscard]] bool transferable() const override { return logged_in_ && statements_.empty(); }
  [[nodiscard]] std::string transfer_state() const override { return std::to_string(capabilities_); }
  void continue_transferred(const std::string& state) override;

 private:
  /// A prepared statement.
  struct Statement {
    std::string sql;
    std::size_t placeholders = 0;
    std::vector<mysql::Parameter> types;                // as last bound, without values
    std::vector<std::optional<std::string>> long_data;  // by parameter index
    std::size_t long_data_size = 0;                     // bytes
    bool long_data_rejected = false;                    // for its size or its parameter index
    /// Bytes that count towards statement_memory().
    [[nodiscard]] std::size_t size() const { return sql.size() + long_data_size; }
    /// Drops the long data, after an execution or when the client asks for that.
    void reset_long_data();
  };
  [[nodiscard]] bool nothing_received() const override { return !logged_in_ && in_.empty(); }
  [[nodiscard]] std::size_t kept_bytes() const override {
    return Client::kept_bytes() + prepared_memory_.bytes();
  }
  bool process_command() override;
  void put_answer(broker::FinalAnswer answer, std::string& out) override;
  void handle_handshake_response(std::string_view payload);
  void handle_command(std::string_view payload);
  void handle_query(std::string_view payload);
  void handle_prepare(std::string_view sql);
  void handle_execute(std::string_view payload);
  void handle_long_data(std::string_view body);
  /// Submits a request, or answers it with an error if it is rejected.
  void submit(std::shared_ptr<MysqlRequest> request);
  /// Whether the gateway supports the statement; answers it with an error if not.
  bool check_supported(std::string_view sql);
  /// The prepared statement `id`; null, after an error to the client, if there is none.
  Statement* find_statement(std::uint32_t id);
  /// Bytes that the client's prepared statements and their long data take.
  [[nodiscard]] std::size_t statement_memory() const;
  void send_ok();
  void send_error(std::uint16_t code, std::string_view state, const std::string& message);
  /// Sends an error and ends the connection.
  void send_fatal(std::uint16_t code, std::string_view state, const std::string& message);
  [[nodiscard]] bool supports(mysql::Capability capability) const {
    return (capabilities_ & capability) != 0;
  }

  std::uint32_t capabilities_ = 0;  // those that both the client and this gateway support
  bool logged_in_ = false;
  std::uint8_t sequence_ = 0;                      // of the next packet to write
  std::map<std::uint32_t, Statement> statements_;  // by the id that the client has been given
  std::uint32_t next_statement_id_ = 1;
  broker::MessageMemory::Charge prepared_memory_;  // for statement_memory()
};

}  // namespace cedarring::wire
