// Adapter between routers and an external simulator of whole deployments, which speaks a line protocol on the
// adapter's standard input and output: parses messages into events, runs one Router for each simulated
// instance, and formats the routers' actions. Makes no routing decisions. A line is a verb followed by
// name=value fields. The simulator sends batches of lines, from "batch" with the simulated time to
// "over_to_you"; the adapter answers each batch with the resulting actions and the line "done".
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
  /// Executes the message of one line, without its line feed, and appends the resulting lines to `out`. A
  /// trailing carriage return is ignored. Throws text::ParseError for a malformed line.
  void handle_line(std::string_view text, std::string& out);

 private:
  struct Instance;
  struct Item;
  /// As handle_line(), for a line without a carriage return. An empty line is ignored.
  void handle_message(std::string_view text, std::string& out);
  /// Passes an event to an instance and appends its actions to `out`.
  void deliver(std::int64_t router_number, Instance& instance, const Event& event, std::string& out);
  std::map<std::int64_t, std::unique_ptr<Instance>> instances_;  // by router number
  /// Rosters by reference number. A roster is a member list that the simulator sends once, as a "roster" line
  /// and an "item" line for each host, and refers to by this number in "fleet" lines.
  std::map<std::int64_t, std::vector<Item>> rosters_;
  Time now_{};  // simulated time
  bool in_batch_ = false;
  std::int64_t current_roster_ = 0;  // reference number of the roster to which the next items belong
  std::size_t remaining_items_ = 0;  // items of the current roster that have not been received yet
};

/// Runs the adapter until the end of the input. Returns 0, or 2 after a malformed line, which is reported by
/// one line on `errors`.
int run(std::istream& input, std::ostream& output, std::ostream& errors);

}  // namespace cedarring::sim
