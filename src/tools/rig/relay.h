// What lies between gateways that talk: each is shown to the others at an address of the rig's, through which
// datagrams and connections pass, so that a link of two can be cut, slow or lossy, each way for itself. One
// socket a gateway, however many links there are.
#pragma once

#include <ev++.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "tools/lab/ledger.h"
#include "tools/lab/timeline.h"
#include "wire/connection.h"

namespace cedarring::rig {

/// One way from a gateway to another.
struct LinkState {
  bool cut = false;
  double loss = 0, duplicate = 0, reorder = 0;  // shares of the datagrams; late: some come behind later ones
  Duration delay{};
  [[nodiscard]] bool healthy() const {
    return !cut && loss <= 0 && duplicate <= 0 && reorder <= 0 && delay <= Duration::zero();
  }
};

class Relay {
 public:
  /// Where a gateway talks from and to, "address:port" of loopback, and where the others believe it to be.
  /// The addresses, without ports, are all different: they tell who speaks.
  struct Peer {
    std::string bound_address, advertised_address;
  };
  /// `way` tells what the way from one peer to another is like now; it is asked for each datagram.
  Relay(ev::loop_ref loop, lab::Timeline& timeline, std::uint64_t seed, std::vector<Peer> peers,
        std::function<LinkState(int from, int to)> link_state);
  ~Relay();
  /// Empty, or why it cannot work.
  [[nodiscard]] const std::string& error() const { return error_; }
  /// Ways have changed: connections go on, or stand still.
  void update_streams();
  /// Resets the connections from one to another, either way.
  void reset(int gateway, int other);
  struct Counts {
    std::uint64_t forwarded = 0, dropped = 0, duplicated = 0, reordered = 0, unknown_sender = 0, bytes = 0;
  };
  [[nodiscard]] const Counts& counts() const { return counts_; }

 private:
  class Endpoint;
  struct Stream;
  struct Listener {
    wire::Fd datagrams, stream;
    std::unique_ptr<ev::io> datagram_watcher, stream_watcher;
  };
  void on_datagram(ev::io& watcher, int);
  void on_connection(ev::io& watcher, int);
  void forward(int from, int to, const std::string& bytes);
  [[nodiscard]] int peer_at(std::uint32_t address) const;
  void close_stream(Stream* stream, bool with_reset);
  ev::loop_ref loop_;
  lab::Timeline& timeline_;
  lab::Random random_;
  std::vector<Peer> peers_;
  std::function<LinkState(int, int)> link_state_;
  std::vector<Listener> listeners_;
  std::map<std::uint32_t, int> by_address_;
  std::map<const ev::io*, int> peer_by_watcher_;
  wire::Reaper reaper_;
  std::vector<std::unique_ptr<Stream>> streams_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // for what is late
  Counts counts_;
  std::string error_;
};

}  // namespace cedarring::rig
