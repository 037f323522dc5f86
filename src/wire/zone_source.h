// A source of member lists: a DNS zone that is kept current by dynamic updates over UDP.
#pragma once

#include <ev++.h>

#include <functional>
#include <string>

#include "wire/connection.h"
#include "wire/dns.h"

namespace cedarring::wire {

/// Answers dynamic updates of a zone and reports the member list after each update that changes the zone.
class ZoneSource {
 public:
  using ListCallback = std::function<void(const broker::MemberList&)>;
  /// Receives updates at `address`, which has to be a loopback address, since updates are not authenticated.
  /// `inherited`: a socket that another process of this gateway has bound there, used in place of a new one.
  /// Throws std::system_error if the address cannot be bound.
  ZoneSource(ev::loop_ref loop, const std::string& address, dns::Zone zone, ListCallback on_list,
             Fd inherited = Fd());
  /// Stops (true) or resumes (false) reading, for the time in which another process reads the updates.
  void pause(bool paused) { paused ? io_.stop() : io_.start(fd_.get(), ev::READ); }
  [[nodiscard]] const Fd& socket() const { return fd_; }
  /// The current member list.
  [[nodiscard]] broker::MemberList list() const { return dns::member_list_of(zone_, version_); }
  [[nodiscard]] std::string address() const { return bound_address(fd_); }

 private:
  void on_readable(ev::io&, int);
  dns::Zone zone_;
  std::uint64_t version_ = 1;  // of the member list; counts the changes of the zone
  ListCallback on_list_;
  Fd fd_;
  ev::io io_;
};

}  // namespace cedarring::wire
