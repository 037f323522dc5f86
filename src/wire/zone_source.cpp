#include "wire/zone_source.h"

#include <sys/socket.h>

#include <cerrno>
#include <system_error>

namespace cedarring::wire {
namespace {

constexpr int max_updates_per_wakeup = 16;     // so that a burst of updates does not delay requests
constexpr std::size_t max_update_size = 4096;  // bytes

}  // namespace

ZoneSource::ZoneSource(ev::loop_ref loop, const std::string& address, dns::Zone zone, ListCallback on_list,
                       Fd inherited)
    : zone_(std::move(zone)),
      on_list_(std::move(on_list)),
      fd_(inherited.get() >= 0 ? std::move(inherited) : bind_datagram(address)),
      io_(loop) {
  if (fd_.get() < 0) throw std::system_error(errno, std::generic_category(), "dns.listen: " + address);
  io_.set<ZoneSource, &ZoneSource::on_readable>(this);
  io_.start(fd_.get(), ev::READ);
}

void ZoneSource::on_readable(ev::io&, int) {
  for (int i = 0; i < max_updates_per_wakeup; ++i) {
    char buffer[max_update_size];
    sockaddr_storage sender{};
    socklen_t sender_size = sizeof sender;
    const auto size =
        ::recvfrom(fd_.get(), buffer, sizeof buffer, 0, reinterpret_cast<sockaddr*>(&sender), &sender_size);
    if (size < 0) return;
    bool changed = false;
    const auto answer = dns::handle_update({buffer, static_cast<std::size_t>(size)}, zone_, changed);
    if (changed) {
      ++version_;
      on_list_(list());
    }
    if (!answer.empty())
      ::sendto(fd_.get(), answer.data(), answer.size(), MSG_NOSIGNAL, reinterpret_cast<sockaddr*>(&sender),
               sender_size);
  }
}

}  // namespace cedarring::wire
