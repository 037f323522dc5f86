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

constexpr std::size_t max_datagram_bytes = 65536;
constexpr std::size_t max_stream_buffer_bytes = 256 * 1024;
constexpr int max_datagrams_per_event = 256;
constexpr int max_accepts_per_event = 64;
constexpr Duration min_reorder_delay{5'000};  // delay of a reordered datagram, in microseconds
constexpr double max_reorder_factor = 10;     // largest delay, as a multiple of the smallest
// How long a closed stream is kept for callbacks that are still running.
constexpr Duration stream_release_delay{1'000};
// Selects the random sequence of the relay among those of the rig's seed.
constexpr std::uint64_t random_stream = 7;

/// Parses "address:port".
std::optional<sockaddr_in> address_of(const std::string& text) {
  const auto colon = text.rfind(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  if (colon == std::string::npos || inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) != 1)
    return std::nullopt;
  address.sin_port = htons(static_cast<std::uint16_t>(std::atoi(text.c_str() + colon + 1)));
  return address;
}

}  // namespace

/// One side of a relayed connection: its input is written to the other side.
class Relay::Endpoint : public wire::Connection {
 public:
  Endpoint(Relay& relay, wire::Fd fd, bool connecting, Stream& stream, int peer)
      : Connection(relay.loop_, std::move(fd), connecting, max_stream_buffer_bytes,
                   2 * max_stream_buffer_bytes),
        relay_(relay),
        stream_(stream),
        peer_(peer) {}
  /// Pauses the input while the direction from this peer is cut; else forwards what was read.
  void update();
  /// Closes the connection with a TCP reset.
  void reset() {
    const linger reset_on_close{1, 0};
    ::setsockopt(descriptor(), SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
    close();
  }
  /// Closes the connection in an orderly way.
  void end() {
    if (!closed()) close();
  }
  /// Writes to the connection; false if it is closed or its output buffer has no room.
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

/// A relayed connection between two gateways.
struct Relay::Stream {
  int from = 0;  // the gateway that connected
  int to = 0;
  std::unique_ptr<Endpoint> client_side;  // connection to `from`
  std::unique_ptr<Endpoint> server_side;  // connection to `to`
  [[nodiscard]] Endpoint& other(const Endpoint& endpoint) {
    return &endpoint == client_side.get() ? *server_side : *client_side;
  }
};

void Relay::Endpoint::update() {
  if (closed()) return;
  const int to = peer_ == stream_.from ? stream_.to : stream_.from;
  set_reading_paused(relay_.link_state_(peer_, to).cut);
  on_input();
}

void Relay::Endpoint::on_input() {
  auto& other = stream_.other(*this);
  if (reading_paused() || in_.empty() || other.closed()) return;
  const auto bytes = in_.view();
  if (!other.put(bytes)) return;  // resumes when the other side has sent its output
  relay_.counts_.bytes += bytes.size();
  in_.consume(bytes.size());
  input_consumed();
}

void Relay::Endpoint::on_open() { stream_.other(*this).update(); }
void Relay::Endpoint::on_sent() { stream_.other(*this).update(); }
void Relay::Endpoint::on_end(int error) { relay_.close_stream(&stream_, error != 0); }

Relay::Relay(ev::loop_ref loop, lab::Timeline& timeline, std::uint64_t seed, std::vector<Peer> peers,
             std::function<LinkState(int, int)> link_state)
    : loop_(loop),
      timeline_(timeline),
      random_(seed, random_stream),
      peers_(std::move(peers)),
      link_state_(std::move(link_state)),
      listeners_(peers_.size()),
      reaper_(loop) {
  for (std::size_t i = 0; i < peers_.size(); ++i) {
    auto& listener = listeners_[i];
    const auto bound = address_of(peers_[i].bound_address);
    listener.datagrams = wire::bind_datagram(peers_[i].advertised_address);
    listener.stream = wire::listen_on(peers_[i].advertised_address);
    if (!bound || !wire::is_loopback(peers_[i].bound_address) ||
        !wire::is_loopback(peers_[i].advertised_address) || listener.datagrams.get() < 0 ||
        listener.stream.get() < 0) {
      error_ = "cannot open relay at " + peers_[i].advertised_address + ": " + std::strerror(errno);
      return;
    }
    peer_by_address_[bound->sin_addr.s_addr] = static_cast<int>(i);
    listener.datagram_watcher = std::make_unique<ev::io>(loop_);
    listener.stream_watcher = std::make_unique<ev::io>(loop_);
    listener.datagram_watcher->set<Relay, &Relay::on_datagram>(this);
    listener.stream_watcher->set<Relay, &Relay::on_connection>(this);
    listener.datagram_watcher->start(listener.datagrams.get(), ev::READ);
    listener.stream_watcher->start(listener.stream.get(), ev::READ);
    peer_by_watcher_[listener.datagram_watcher.get()] = peer_by_watcher_[listener.stream_watcher.get()] =
        static_cast<int>(i);
  }
}

Relay::~Relay() {
  for (auto& stream : streams_) {
    stream->client_side->end();
    stream->server_side->end();
  }
}

int Relay::peer_at(std::uint32_t address) const {
  const auto it = peer_by_address_.find(address);
  return it == peer_by_address_.end() ? -1 : it->second;
}

void Relay::on_datagram(ev::io& watcher, int) {
  const int to = peer_by_watcher_.at(&watcher);
  std::string bytes(max_datagram_bytes, '\0');
  for (int i = 0; i < max_datagrams_per_event; ++i) {
    sockaddr_in sender{};
    socklen_t sender_size = sizeof sender;
    const auto received = ::recvfrom(watcher.fd, bytes.data(), bytes.size(), 0,
                                     reinterpret_cast<sockaddr*>(&sender), &sender_size);
    if (received < 0) return;
    const int from = peer_at(sender.sin_addr.s_addr);
    if (from < 0) {
      ++counts_.unknown_sender;
      continue;
    }
    const auto draw = [&] { return boost::random::uniform_01<double>()(random_); };
    const auto link = link_state_(from, to);
    // All numbers are drawn for each datagram, so that one fault does not change the draws of another.
    const double loss_draw = draw();
    const double duplicate_draw = draw();
    const double reorder_draw = draw();
    const double delay_draw = draw();
    if (link.cut || loss_draw < link.loss) {
      ++counts_.dropped;
      continue;
    }
    auto delay = link.delay;
    if (reorder_draw < link.reorder) {
      ++counts_.reordered;
      delay += Duration(static_cast<std::int64_t>(static_cast<double>(min_reorder_delay.count()) *
                                                  (1 + (max_reorder_factor - 1) * delay_draw)));
    }
    const auto datagram = bytes.substr(0, static_cast<std::size_t>(received));
    const int copies = duplicate_draw < link.duplicate ? 2 : 1;
    counts_.duplicated += copies - 1;
    for (int k = 0; k < copies; ++k) {
      if (delay <= Duration::zero())
        forward(from, to, datagram);
      else
        timeline_.after(
            delay,
            [this, alive = std::weak_ptr<bool>(alive_), from, to, datagram] {
              if (!alive.expired()) forward(from, to, datagram);
            });
    }
  }
}

void Relay::forward(int from, int to, const std::string& bytes) {
  const auto destination = address_of(peers_[static_cast<std::size_t>(to)].bound_address);
  ++counts_.forwarded;
  counts_.bytes += bytes.size();
  ::sendto(listeners_[static_cast<std::size_t>(from)].datagrams.get(), bytes.data(), bytes.size(),
           MSG_DONTWAIT, reinterpret_cast<const sockaddr*>(&*destination), sizeof *destination);
}

void Relay::on_connection(ev::io& watcher, int) {
  const int to = peer_by_watcher_.at(&watcher);
  for (int i = 0; i < max_accepts_per_event; ++i) {
    auto fd = wire::accept_from(watcher.fd);
    if (fd.get() < 0) return;
    sockaddr_in sender{};
    socklen_t sender_size = sizeof sender;
    ::getpeername(fd.get(), reinterpret_cast<sockaddr*>(&sender), &sender_size);
    const int from = peer_at(sender.sin_addr.s_addr);
    if (from < 0) {
      ++counts_.unknown_sender;
      continue;
    }
    auto out = wire::connect_to(peers_[static_cast<std::size_t>(to)].bound_address);
    if (out.get() < 0) continue;
    auto stream = std::make_unique<Stream>();
    stream->from = from;
    stream->to = to;
    stream->client_side = std::make_unique<Endpoint>(*this, std::move(fd), false, *stream, from);
    stream->server_side = std::make_unique<Endpoint>(*this, std::move(out), true, *stream, to);
    auto* opened = stream.get();
    streams_.push_back(std::move(stream));
    opened->client_side->update();
  }
}

void Relay::update_streams() {
  for (std::size_t i = 0; i < streams_.size(); ++i) {
    auto* stream = streams_[i].get();
    stream->client_side->update();
    // The update may have closed the stream.
    if (i < streams_.size() && streams_[i].get() == stream) stream->server_side->update();
  }
}

void Relay::reset(int gateway, int other) {
  std::vector<Stream*> matching;
  for (const auto& stream : streams_)
    if ((stream->from == gateway && stream->to == other) || (stream->from == other && stream->to == gateway))
      matching.push_back(stream.get());
  for (auto* stream : matching) close_stream(stream, true);
}

void Relay::close_stream(Stream* stream, bool with_reset) {
  const auto it = std::find_if(streams_.begin(), streams_.end(),
                               [&](const auto& stream_entry) { return stream_entry.get() == stream; });
  if (it == streams_.end()) return;
  for (auto* endpoint : {stream->client_side.get(), stream->server_side.get()})
    if (!endpoint->closed()) with_reset ? endpoint->reset() : endpoint->end();
  reaper_.add(std::move(stream->client_side));
  reaper_.add(std::move(stream->server_side));
  // Callbacks of the endpoints may still be running and refer to the stream until the loop blocks next.
  timeline_.after(stream_release_delay, [closed = std::shared_ptr<Stream>(std::move(*it))] {});
  streams_.erase(it);
}

}  // namespace cedarring::rig
