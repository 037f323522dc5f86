// Relays the traffic between gateways, so that faults can be injected on each link and direction. Every
// gateway advertises an address of the rig, through which its datagrams and connections pass. Needs one
// datagram socket and one listener for each gateway, however many links there are.
#pragma once

#include <ev++.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "tools/lab/host_model.h"
#include "tools/lab/timeline.h"
#include "wire/connection.h"

namespace cedarring::rig {

/// State of the link from one gateway to another, in one direction.
struct LinkState {
  bool cut = false;
  // Shares of the datagrams, 0 to 1.
  double loss = 0;
  double duplicate = 0;
  double reorder = 0;
  Duration delay{};  // of datagrams
  [[nodiscard]] bool healthy() const {
    return !cut && loss <= 0 && duplicate <= 0 && reorder <= 0 && delay <= Duration::zero();
  }
};

/// Forwards datagrams and connections between peers, subject to the state of their link.
class Relay {
 public:
  /// The loopback addresses of a gateway, each as "address:port". The addresses without ports all differ, as
  /// they identify the sender.
  struct Peer {
    std::string bound_address;       // where the gateway is bound
    std::string advertised_address;  // where the other gateways reach it: the relay listens there
  };
  /// `link_state` returns the present state of the link from one peer to another; it is called for each
  /// datagram. `seed`: for the draws of the datagram faults. On failure error() is set.
  Relay(ev::loop_ref loop, lab::Timeline& timeline, std::uint64_t seed, std::vector<Peer> peers,
        std::function<LinkState(int from, int to)> link_state);
  ~Relay();
  /// Why the relay could not be set up; empty on success.
  [[nodiscard]] const std::string& error() const { return error_; }
  /// To be called after link states have changed: pauses or resumes connections.
  void update_streams();
  /// Resets the connections between two gateways, whichever side opened them.
  void reset(int gateway, int other);
  /// Totals since the start.
  struct Counts {
    // Datagrams.
    std::uint64_t forwarded = 0;
    std::uint64_t dropped = 0;
    std::uint64_t duplicated = 0;
    std::uint64_t reordered = 0;
    std::uint64_t unknown_sender = 0;  // datagrams and connections from addresses of no peer
    std::uint64_t bytes = 0;           // of datagrams and connections
  };
  [[nodiscard]] const Counts& counts() const { return counts_; }

 private:
  class Endpoint;
  struct Stream;
  /// The sockets at the advertised address of one gateway.
  struct Listener {
    wire::Fd datagrams;
    wire::Fd stream;
    std::unique_ptr<ev::io> datagram_watcher;
    std::unique_ptr<ev::io> stream_watcher;
  };
  void on_datagram(ev::io& watcher, int);
  void on_connection(ev::io& watcher, int);
  /// Sends a datagram to a peer, from the advertised address of the sender.
  void forward(int from, int to, const std::string& bytes);
  /// The index of the peer bound at an IPv4 address in network byte order; -1 if there is none.
  [[nodiscard]] int peer_at(std::uint32_t address) const;
  /// Closes both sides of a stream.
  void close_stream(Stream* stream, bool with_reset);
  ev::loop_ref loop_;
  lab::Timeline& timeline_;
  lab::Random random_;
  std::vector<Peer> peers_;
  std::function<LinkState(int, int)> link_state_;
  std::vector<Listener> listeners_;
  std::map<std::uint32_t, int> peer_by_address_;  // bound address in network byte order
  std::map<const ev::io*, int> peer_by_watcher_;
  wire::Reaper reaper_;
  std::vector<std::unique_ptr<Stream>> streams_;
  std::shared_ptr<bool> alive_ =
      std::make_shared<bool>(true);  // lets delayed datagrams detect that the relay is gone
  Counts counts_;
  std::string error_;
};

}  // namespace cedarring::rig
