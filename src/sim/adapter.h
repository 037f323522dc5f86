// Adapter between routers and an external simulator of whole deployments, which speaks a line protocol on the
// adapter's standard input and output: parses messages into events, runs one Router per simulated instance,
// and formats its actions. Makes no routing decisions.
#pragma once

#include <cstdint>
#include <iosfwd>
#include <map>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cedarring/router.h"

namespace cedarring::sim {

/// The routers of one simulation, driven by lines of the protocol.
class Adapter {
 public:
  Adapter();
  ~Adapter();
  Adapter(const Adapter&) = delete;
  Adapter& operator=(const Adapter&) = delete;
  /// Handles one line, without its line feed; a trailing carriage return is ignored. Executes the message and
  /// appends the resulting lines to `out`. Throws text::ParseError for a malformed line.
  void handle_line(std::string_view text, std::string& out);

 private:
  struct Instance;
  struct Item;
  /// Handles one line without a trailing carriage return, which handle_line() has removed; an empty one is
  /// ignored.
  void handle_message(std::string_view text, std::string& out);
  /// Passes an event to an instance and appends its actions to `out`.
  void deliver(std::int64_t number, Instance& instance, const Event& event, std::string& out);
  std::map<std::int64_t, std::unique_ptr<Instance>> instances_;
  /// Rosters by reference number. A roster is a member list that the simulator sends once and later refers to
  /// by this number.
  std::map<std::int64_t, std::vector<Item>> rosters_;
  Time now_{};
  bool in_batch_ = false;
  std::int64_t current_roster_ = 0;  // to which the next items belong
  std::size_t remaining_items_ = 0;  // of the current roster
};

/// Runs the adapter until the end of the input. Returns 0, or 2 after a malformed line, which is reported by
/// one line on `errors`.
int run(std::istream& input, std::ostream& output, std::ostream& errors);

}  // namespace cedarring::sim
