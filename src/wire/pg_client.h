// Connections of PostgreSQL clients. Only the simple query protocol is supported.
#pragma once

#include <string>

#include "wire/client.h"
#include "wire/pg.h"
#include "wire/pg_request.h"

namespace cedarring::wire {

/// A PostgreSQL client: answers the startup and session commands itself and submits other statements as
/// requests.
class PgClient : public Client {
 public:
  PgClient(ev::loop_ref loop, Fd fd, ClientSet& owner)
      : Client(loop, std::move(fd), owner, pg_max_message_size) {}
  void reject_too_many_clients() override;
  [[nodiscard]] bool transferable() const override { return startup_done_; }
  void continue_transferred(const std::string& /*state*/) override {
    startup_done_ = true;
    on_command_received();
  }

 private:
  [[nodiscard]] bool nothing_received() const override { return !startup_done_ && in_.empty(); }
  [[nodiscard]] std::size_t pipeline_depth() const override { return max_pipelined_queries; }
  bool process_command() override { return startup_done_ ? read_message() : read_startup(); }
  void put_answer(broker::FinalAnswer answer, std::string& out) override;
  [[nodiscard]] std::size_t missing_bytes_after(std::size_t missing, std::string_view bytes) const override {
    return pg::missing_bytes_after(missing, bytes);
  }
  // The read functions process one message. They return false if there is no complete one or the connection
  // is to be closed.
  bool read_startup();
  bool read_message();
  /// Reads a statement that is too long for the input buffer: reserves memory for all of it, then collects
  /// its bytes.
  bool read_long_query();
  [[nodiscard]] bool reading_long_command() const override { return long_query_size_ > 0; }
  /// Answers a session command, or submits the statement as a request. `reservation` holds the memory of a
  /// long statement.
  void handle_query(std::string sql, broker::MemoryBudget::Reservation reservation = {});
  /// Answers a statement with an ERROR; the connection stays open.
  void send_error(std::string_view code, const std::string& message);
  /// Ends the connection with a FATAL error; always returns false.
  bool send_fatal(std::string_view code, std::string_view message);

  static constexpr std::size_t max_pipelined_queries = 16;

  bool startup_done_ = false;
  // The long statement being read: its size with the zero byte (0 if there is none), and its bytes so far,
  // once memory is reserved for all of them.
  std::size_t long_query_size_ = 0;
  std::string long_query_;
  broker::MemoryBudget::Reservation long_query_reservation_;
};

}  // namespace cedarring::wire
