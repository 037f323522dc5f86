// The HTTP/1.1 control endpoint for operators: one request per connection. It parses requests and writes
// responses; its owner handles them.
#pragma once

#include <ev++.h>

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wire/connection.h"

namespace cedarring::wire {

/// An operator's HTTP request.
struct ControlRequest {
  std::string method;
  std::string path;  // as sent, percent-encoded; without the query
};
/// The HTTP response to an operator's request.
struct ControlResponse {
  int status = 200;
  std::string body;
  std::string allow;  // with status 405: the methods that the path allows
};

/// The percent-decoded segments of a path. Nothing if the path does not begin with a slash, if a per cent
/// sign is not followed by two hexadecimal digits, or if a zero byte is encoded, which no name contains.
std::optional<std::vector<std::string>> split_path(std::string_view path);

/// The listener of the control endpoint and its connections.
class ControlServer {
 public:
  /// Returns the response to a request. Must not block: it runs in the event loop, and checks of liveness and
  /// readiness commonly time out after 1 s.
  using Handler = std::function<ControlResponse(const ControlRequest&)>;
  /// Listens on exactly `address`. Throws std::system_error.
  ControlServer(ev::loop_ref loop, Reaper& reaper, const std::string& address, Handler handler);
  ~ControlServer();
  [[nodiscard]] std::string address() const { return bound_address(listener_); }

  static constexpr std::size_t max_connections = 12;
  /// Descriptors to be reserved for it: connections, the listener, and one being accepted.
  static constexpr std::size_t descriptors = max_connections + 2;
  static constexpr std::size_t max_head_size = 8192;                         // bytes
  static constexpr std::size_t max_body_size = 65536;                        // bytes
  static constexpr std::size_t max_response_size = std::size_t{256} * 1024;  // bytes
  static constexpr double timeout_s = 5;                                     // from connect to close

 private:
  /// A connection with its one request and response.
  class Exchange;
  friend class Exchange;
  void on_connection(ev::io&, int);
  void resume_accepting(ev::timer&, int) { io_.start(); }
  /// Gives a closed connection to the reaper.
  void remove(Exchange* exchange);
  ev::loop_ref loop_;
  Reaper& reaper_;
  Handler handler_;
  Fd listener_;
  ev::io io_;
  ev::timer accept_pause_;
  std::list<std::unique_ptr<Exchange>> exchanges_;  // in the order of arrival
};

}  // namespace cedarring::wire
