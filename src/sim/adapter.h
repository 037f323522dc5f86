// The adapter for the simulator's wire: parse, intern ids, one Router per instance, format. Decides nothing.
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

class Adapter {
 public:
  Adapter();
  ~Adapter();
  Adapter(const Adapter&) = delete;
  Adapter& operator=(const Adapter&) = delete;
  /// Takes one line without its end; appends what is to be written. Throws ParseError.
  void line(std::string_view text, std::string& out);

 private:
  struct Instance;
  struct Item;
  void batch_line(std::string_view text, std::string& out);
  void feed(std::int64_t number, Instance& in, const Event& event, std::string& out);
  std::map<std::int64_t, std::unique_ptr<Instance>> instances_;
  std::map<std::int64_t, std::vector<Item>> rosters_;
  Time now_{};
  bool in_batch_ = false;
  std::int64_t filling_ = 0;
  std::size_t items_due_ = 0;
};

/// Runs the wire until the end of input: 0, or 2 after one plain line on `err` for a line that is malformed.
int run(std::istream& in, std::ostream& out, std::ostream& err);

}  // namespace cedarring::sim
