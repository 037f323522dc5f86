// The admin socket: a Unix domain stream socket on which a client sends one command line and receives one
// answer. The number of clients, bytes and time are limited; the processing of requests does not depend on
// it.
#pragma once

#include <ev++.h>

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "wire/connection.h"

namespace cedarring::wire {

/// Listens on the admin socket and answers commands through a handler.
class AdminSocket {
 public:
  /// Returns the answer to a command line, given as words, without a line end.
  using Handler = std::function<std::string(const std::vector<std::string>& words)>;
  /// Listens at `path`, replacing a socket that nobody listens on any more. Throws std::system_error.
  AdminSocket(ev::loop_ref loop, Reaper& reaper, std::string path, Handler handler);
  ~AdminSocket();
  AdminSocket(const AdminSocket&) = delete;
  AdminSocket& operator=(const AdminSocket&) = delete;
  [[nodiscard]] const std::string& path() const { return path_; }

  static constexpr std::size_t max_clients = 8;                            // connected at the same time
  static constexpr std::size_t max_line_size = 1024;                       // bytes
  static constexpr std::size_t max_answer_size = std::size_t{256} * 1024;  // bytes
  static constexpr double timeout_s = 5;                                   // from connect to close

 private:
  /// The connection of one client.
  class Peer;
  friend class Peer;
  void on_connection(ev::io&, int);
  /// Gives a closed connection to the reaper.
  void remove(Peer* peer);
  ev::loop_ref loop_;
  Reaper& reaper_;
  std::string path_;
  Handler handler_;
  Fd listener_;
  ev::io io_;
  std::unordered_map<Peer*, std::unique_ptr<Peer>> peers_;
};

/// The client's side: sends `line` to the admin socket at `path` and reads the answer to its end. Blocks; on
/// failure returns false and sets `error`.
bool send_admin_command(const std::string& path, const std::string& line, std::string& answer,
                        std::string& error);

}  // namespace cedarring::wire
