#include "tools/rig/relay.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/random/uniform_01.hpp>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <optional>

namespace cedarring::rig {
namespace {

constexpr std::size_t datagram_most = 65536, stream_most = 256 * 1024;
constexpr Duration late_least{5'000};  // of a datagram that comes behind later ones; up to ten times that

std::optional<sockaddr_in> address_of(const std::string& text) {
  const auto colon = text.rfind(':');
  sockaddr_in at{};
  at.sin_family = AF_INET;
  if (colon == std::string::npos || inet_pton(AF_INET, text.substr(0, colon).c_str(), &at.sin_addr) != 1)
    return std::nullopt;
  at.sin_port = htons(static_cast<std::uint16_t>(std::atoi(text.c_str() + colon + 1)));
  return at;
}

}  // namespace

/// One side of a connection that passes through: what it reads the other writes.
class Relay::End : public wire::Connection {
 public:
  End(Relay& relay, wire::Fd fd, bool connecting, Stream& stream, int peer)
      : Connection(relay.loop_, std::move(fd), connecting, stream_most, 2 * stream_most),
        relay_(relay),
        stream_(stream),
        peer_(peer) {}
  void look();
  void reset() {
    const linger now{1, 0};
    ::setsockopt(descriptor(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close();
  }
  void end() {
    if (!closed()) close();
  }
  bool put(std::string_view bytes) { return write(bytes); }

 private:
  void on_input() override;
  void on_open() override;
  void on_sent() override;
  void on_end(int error) override;
  Relay& relay_;
  Stream& stream_;
  int peer_;
};

struct Relay::Stream {
  int from = 0, to = 0;
  std::unique_ptr<End> near, far;  // the one that connects; the one it reaches
  [[nodiscard]] End& other(const End& one) { return &one == near.get() ? *far : *near; }
};

/// Holds it while the way from its peer is cut, and passes on what it has read otherwise.
void Relay::End::look() {
  if (closed()) return;
  const int to = peer_ == stream_.from ? stream_.to : stream_.from;
  set_reading_paused(relay_.way_(peer_, to).cut);
  on_input();
}

void Relay::End::on_input() {
  auto& other = stream_.other(*this);
  if (reading_paused() || in_.empty() || other.closed()) return;
  const auto bytes = in_.view();
  if (!other.put(bytes)) return;  // it goes on once the other has taken what it has
  relay_.counts_.bytes += bytes.size();
  in_.consume(bytes.size());
  input_consumed();
}

void Relay::End::on_open() { stream_.other(*this).look(); }
void Relay::End::on_sent() { stream_.other(*this).look(); }
void Relay::End::on_end(int error) { relay_.over(&stream_, error != 0); }

Relay::Relay(ev::loop_ref loop, lab::Timeline& timeline, std::uint64_t seed, std::vector<Peer> peers,
             std::function<Way(int, int)> way)
    : loop_(loop),
      timeline_(timeline),
      draws_(seed, 7),
      peers_(std::move(peers)),
      way_(std::move(way)),
      doors_(peers_.size()),
      reaper_(loop) {
  for (std::size_t i = 0; i < peers_.size(); ++i) {
    auto& d = doors_[i];
    const auto real = address_of(peers_[i].real);
    d.datagrams = wire::bind_datagram(peers_[i].shown);
    d.listener = wire::listen_on(peers_[i].shown);
    if (!real || !wire::is_loopback(peers_[i].real) || !wire::is_loopback(peers_[i].shown) ||
        d.datagrams.get() < 0 || d.listener.get() < 0) {
      error_ = "no relay at " + peers_[i].shown + ": " + std::strerror(errno);
      return;
    }
    by_address_[real->sin_addr.s_addr] = static_cast<int>(i);
    d.in = std::make_unique<ev::io>(loop_), d.accepts = std::make_unique<ev::io>(loop_);
    d.in->set<Relay, &Relay::datagram>(this), d.accepts->set<Relay, &Relay::incoming>(this);
    d.in->start(d.datagrams.get(), ev::READ), d.accepts->start(d.listener.get(), ev::READ);
    watching_[d.in.get()] = watching_[d.accepts.get()] = static_cast<int>(i);
  }
}

Relay::~Relay() {
  for (auto& s : streams_) s->near->end(), s->far->end();
}

int Relay::peer_at(std::uint32_t address) const {
  const auto it = by_address_.find(address);
  return it == by_address_.end() ? -1 : it->second;
}

void Relay::datagram(ev::io& watcher, int) {
  const int to = watching_.at(&watcher);
  std::string bytes(datagram_most, '\0');
  for (int i = 0; i < 256; ++i) {
    sockaddr_in at{};
    socklen_t size = sizeof at;
    const auto n =
        ::recvfrom(watcher.fd, bytes.data(), bytes.size(), 0, reinterpret_cast<sockaddr*>(&at), &size);
    if (n < 0) return;
    const int from = peer_at(at.sin_addr.s_addr);
    if (from < 0) {
      ++counts_.foreign;
      continue;
    }
    const auto draw = [&] { return boost::random::uniform_01<double>()(draws_); };
    const auto way = way_(from, to);
    // All draws are made for each, so that one fault does not move the others'.
    const double loss = draw(), twice = draw(), late = draw(), by = draw();
    if (way.cut || loss < way.loss) {
      ++counts_.lost;
      continue;
    }
    auto wait = way.delay;
    if (late < way.late)
      ++counts_.late,
          wait += Duration(static_cast<std::int64_t>(static_cast<double>(late_least.count()) * (1 + 9 * by)));
    const auto text = bytes.substr(0, static_cast<std::size_t>(n));
    const int many = twice < way.twice ? 2 : 1;
    counts_.doubled += many - 1;
    for (int k = 0; k < many; ++k) {
      if (wait <= Duration::zero())
        pass(from, to, text);
      else
        timeline_.after(
            wait,
            [this, there = std::weak_ptr<bool>(there_), from, to, text] {
              if (!there.expired()) pass(from, to, text);
            });
    }
  }
}

/// From where the sender is believed to be.
void Relay::pass(int from, int to, const std::string& bytes) {
  const auto at = address_of(peers_[static_cast<std::size_t>(to)].real);
  ++counts_.passed, counts_.bytes += bytes.size();
  ::sendto(doors_[static_cast<std::size_t>(from)].datagrams.get(), bytes.data(), bytes.size(), MSG_DONTWAIT,
           reinterpret_cast<const sockaddr*>(&*at), sizeof *at);
}

void Relay::incoming(ev::io& watcher, int) {
  const int to = watching_.at(&watcher);
  for (int i = 0; i < 64; ++i) {
    auto fd = wire::accept_from(watcher.fd);
    if (fd.get() < 0) return;
    sockaddr_in at{};
    socklen_t size = sizeof at;
    ::getpeername(fd.get(), reinterpret_cast<sockaddr*>(&at), &size);
    const int from = peer_at(at.sin_addr.s_addr);
    if (from < 0) {
      ++counts_.foreign;
      continue;
    }
    auto out = wire::connect_to(peers_[static_cast<std::size_t>(to)].real);
    if (out.get() < 0) continue;
    auto s = std::make_unique<Stream>();
    s->from = from, s->to = to;
    s->near = std::make_unique<End>(*this, std::move(fd), false, *s, from);
    s->far = std::make_unique<End>(*this, std::move(out), true, *s, to);
    auto* raw = s.get();
    streams_.push_back(std::move(s));
    raw->near->look();
  }
}

void Relay::changed() {
  for (std::size_t i = 0; i < streams_.size(); ++i) {
    auto* s = streams_[i].get();
    s->near->look();
    if (i < streams_.size() && streams_[i].get() == s) s->far->look();
  }
}

void Relay::reset(int one, int other) {
  std::vector<Stream*> all;
  for (const auto& s : streams_)
    if ((s->from == one && s->to == other) || (s->from == other && s->to == one)) all.push_back(s.get());
  for (auto* s : all) over(s, true);
}

/// What one side has ended ends the other, too.
void Relay::over(Stream* stream, bool with_reset) {
  const auto it =
      std::find_if(streams_.begin(), streams_.end(), [&](const auto& s) { return s.get() == stream; });
  if (it == streams_.end()) return;
  for (auto* end : {stream->near.get(), stream->far.get()})
    if (!end->closed()) with_reset ? end->reset() : end->end();
  reaper_.add(std::move(stream->near)), reaper_.add(std::move(stream->far));
  // Their callbacks may still be running: they refer to it until the loop next blocks.
  timeline_.after(Duration(1000), [gone = std::shared_ptr<Stream>(std::move(*it))] {});
  streams_.erase(it);
}

}  // namespace cedarring::rig
