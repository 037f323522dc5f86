// The operators' socket: a Unix domain stream socket on which a client says one line of words and gets one
// answer. Bounded in clients, bytes and time; no decision waits for it.
#pragma once

#include <ev++.h>

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "wire/connection.h"

namespace cedarring::wire {

class AdminSocket {
 public:
  /// Answers the words of one line; what it returns is written with a line end behind it.
  using Answer = std::function<std::string(const std::vector<std::string>& words)>;
  /// Listens at `path`, in place of a socket that nobody listens on any more. Throws std::system_error.
  AdminSocket(ev::loop_ref loop, Reaper& reaper, std::string path, Answer answer);
  ~AdminSocket();
  AdminSocket(const AdminSocket&) = delete;
  AdminSocket& operator=(const AdminSocket&) = delete;
  [[nodiscard]] const std::string& path() const { return path_; }

  static constexpr std::size_t clients_most = 8, line_most = 1024, answer_most = std::size_t{256} * 1024;
  static constexpr double time_most = 5;  // seconds from connect to close

 private:
  class Peer;
  friend class Peer;
  void incoming(ev::io&, int);
  void gone(Peer* peer);
  ev::loop_ref loop_;
  Reaper& reaper_;
  std::string path_;
  Answer answer_;
  Fd listener_;
  ev::io io_;
  std::unordered_map<Peer*, std::unique_ptr<Peer>> peers_;
};

/// What a client of such a socket does: says the line, reads the answer to its end. False with `error` set.
bool ask_admin(const std::string& path, const std::string& line, std::string& answer, std::string& error);

}  // namespace cedarring::wire
