// Connections to MySQL hosts.
#pragma once

#include <list>
#include <string>

#include "wire/mysql_request.h"
#include "wire/upstream.h"

namespace cedarring::wire {

/// A connection to a MySQL host: runs attempts and health probes, one at a time. It keeps its own list of
/// prepared statements and prepares a client's statement when that is first executed on this connection.
class MysqlHost : public HostConnection {
 public:
  MysqlHost(ev::loop_ref loop, Fd fd, HostId host, SocketUpstream& owner)
      : HostConnection(loop, std::move(fd), host, owner, mysql_max_message_size) {}

 private:
  /// The packet that is due next. prepare_definitions: those of a prepared statement's parameters and
  /// columns, which are skipped; first_packet: the first one of an answer;
  /// validation_*: those of the answer to the validation query.
  enum class State {
    greeting,
    login,
    idle,
    preparing,
    prepare_definitions,
    first_packet,
    columns,
    rows,
    validation_header,
    validation_column,
    validation_row,
    validation_end
  };
  /// A statement that is prepared on this connection.
  struct Prepared {
    std::string sql;
    std::uint32_t id = 0;  // assigned by the host
  };
  void on_input() override;
  void reset() override;
  void submit() override;
  /// A query for a text that no other answer on the connection has.
  void send_validation() override;
  std::optional<broker::AttemptResult> received_result() override;
  // The functions that handle packets return false if the host has violated the protocol.
  bool handle_packet(const mysql::Packet& packet);
  bool handle_greeting(std::string_view payload);
  bool handle_login_response(std::string_view payload);
  bool handle_prepare_response(std::string_view payload);
  bool handle_first_packet(const mysql::Packet& packet);
  bool handle_row(std::string_view payload);
  /// The text that the last validation query asks for.
  [[nodiscard]] std::string validation_text() const;
  /// Handles a packet of the answer to the validation query.
  bool handle_validation_packet(std::string_view payload);
  /// Ends the job with the OK packet that ends its answer.
  bool finish_answer(std::string_view payload);
  /// Ends the job with the host's ERR packet.
  void finish_with_error(std::string_view payload);
  /// Executes the prepared statement `id` for the job.
  void execute_prepared(std::uint32_t id);
  /// Writes a command. `is_request`: the job's request may run once the last byte of the command is sent.
  void write_command(std::string_view payload, bool is_request);
  /// The request of the job, which has to be an attempt.
  [[nodiscard]] const MysqlRequest& request() const {
    return static_cast<const MysqlRequest&>(*job_->payload);
  }

  State state_ = State::greeting;
  std::list<Prepared> statements_;         // most recently used first
  std::uint8_t sequence_ = 0;              // of the next packet due
  std::uint64_t definitions_left_ = 0;     // definition packets still to come
  std::uint32_t preparing_statement_ = 0;  // the id of the statement being prepared
  std::uint64_t validations_ = 0;          // validation queries sent
  std::string answer_;                     // its packets, with their headers
  std::string health_;                     // the load report that a probe has read
  std::string error_;                      // the payload of the host's ERR packet; empty if there is none
  AnswerMetadata metadata_;
};

}  // namespace cedarring::wire
