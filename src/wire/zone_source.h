// A zone kept current by dynamic updates over UDP: another source of list events.
#pragma once

#include <ev++.h>

#include <functional>
#include <string>

#include "wire/connection.h"
#include "wire/dns.h"

namespace cedarring::wire {

class ZoneSource {
 public:
  using Listed = std::function<void(const memory::MemberList&)>;
  /// Updates are taken from anyone who reaches `address`: it has to be one of the loopback.
  ZoneSource(ev::loop_ref loop, const std::string& address, dns::Zone zone, Listed listed);
  /// The list as it stands.
  [[nodiscard]] memory::MemberList list() const { return dns::members_of(zone_, version_); }
  [[nodiscard]] std::string address() const { return bound_address(fd_); }

 private:
  void readable(ev::io&, int);
  dns::Zone zone_;
  std::uint64_t version_ = 1;
  Listed listed_;
  Fd fd_;
  ev::io io_;
};

}  // namespace cedarring::wire
