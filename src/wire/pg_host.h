// Connections to PostgreSQL hosts.
#pragma once

#include <string>

#include "wire/pg_work.h"
#include "wire/upstream.h"

namespace cedarring::wire {

class PgHost : public HostConnection {
 public:
  PgHost(ev::loop_ref loop, Fd fd, HostId host, SocketUpstream& owner)
      : HostConnection(loop, std::move(fd), host, owner, pg_message_most) {}

 private:
  void on_open() override;
  void on_input() override;
  void reset() override;
  void submit() override;
  std::optional<broker::AttemptResult> received_result() override;
  /// False for what has no place here: the connection has lost its order and is of no more use.
  bool take(char type, std::string_view body, std::string_view whole);
  bool take_error(std::string_view body);
  void completed();
  /// Passes on what is there of a long row; false if it has to wait or the connection has ended.
  bool stream();
  /// Whether the message at the front is a row that is to be passed on as it comes.
  bool long_row();
  void on_resume() override { on_input(); }
  void on_writable() override { feed(); }
  /// Writes the next piece of a long statement.
  void feed();

  std::string rows_;  // the messages that make up the answer
  // How far the answer has come: T, D, C, or E in place of them; Z ends it.
  enum class Next { description, row, complete, ready };
  Next next_ = Next::description;
  std::string error_code_, error_text_, health_;
  AnswerMetadata note_;
  std::string digits_;   // of the deadline that a long statement tells
  std::size_t fed_ = 0;  // of its bytes, with these digits, those that are written
  bool feeding_ = false;
  std::size_t left_ = 0;  // of a long row that is being passed on
};

}  // namespace cedarring::wire
