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
  using Listed = std::function<void(const broker::MemberList&)>;
  /// Updates are taken from anyone who reaches `address`: it has to be one of the loopback.
  /// `given`: the socket there that another process of this gateway has, in place of one of its own.
  ZoneSource(ev::loop_ref loop, const std::string& address, dns::Zone zone, Listed listed, Fd given = Fd());
  /// Another process reads the updates meanwhile.
  void pause(bool on) { on ? io_.stop() : io_.start(fd_.get(), ev::READ); }
  [[nodiscard]] const Fd& socket() const { return fd_; }
  /// The list as it stands.
  [[nodiscard]] broker::MemberList list() const { return dns::members_of(zone_, version_); }
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
