// Connections to PostgreSQL hosts.
#pragma once

#include <string>

#include "wire/pg_request.h"
#include "wire/upstream.h"

namespace cedarring::wire {

/// A connection to a PostgreSQL host: runs attempts and health probes as simple queries, one at a time.
/// Long statements are written in chunks; long rows are streamed to the client as they arrive.
class PgHost : public HostConnection {
 public:
  PgHost(ev::loop_ref loop, Fd fd, HostId host, SocketUpstream& owner)
      : HostConnection(loop, std::move(fd), host, owner, pg_max_message_size) {}

 private:
  void on_open() override;
  void on_input() override;
  void reset() override;
  void submit() override;
  /// An empty query, whose answer begins with a message that no request's answer has.
  void send_validation() override;
  std::optional<broker::AttemptResult> received_result() override;
  /// Handles one message; `message_bytes` holds it whole, with its header. False if the message is malformed
  /// or not expected in this state: the connection can no longer be used.
  bool handle_message(char type, std::string_view body, std::string_view message_bytes);
  /// Handles one message while the validation query is out; false as for handle_message().
  bool handle_validation_message(char type, std::string_view body);
  /// Handles an ErrorResponse; false as for handle_message().
  bool handle_error(std::string_view body);
  void handle_ready_for_query();
  /// Streams the available part of a long row; false if it has to wait or the connection has ended.
  bool stream_row();
  /// If the message at the front of the input is a long row of an attempt's answer, starts to stream it.
  bool start_row_stream();
  void on_resume() override { on_input(); }
  void on_writable() override { write_statement(); }
  /// Writes the next chunks of a long statement while the output buffer is empty.
  void write_statement();

  std::string answer_;  // the answer's messages so far, as received
  /// The message that is due next in an answer, or in that to the validation query. An ErrorResponse may come
  /// in place of a description; ReadyForQuery ends the answer.
  enum class Expected { empty_query_response, description, row, complete, ready };
  Expected expected_ = Expected::description;
  std::string error_code_;  // the SQLSTATE of the host's ErrorResponse; empty if there is none
  std::string error_message_;
  std::string health_;  // the load report that a probe has read
  AnswerMetadata metadata_;
  // The long statement being written: the digits that replace those of its deadline, its bytes written so far
  // (with these digits), and whether bytes are left.
  std::string deadline_digits_;
  std::size_t statement_written_ = 0;
  bool writing_statement_ = false;
  std::size_t row_remaining_ = 0;  // bytes still to come of the row that is being streamed
};

}  // namespace cedarring::wire
