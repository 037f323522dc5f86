// The code against models/ladder.pml: its twin here takes the same steps, over every short sequence of inputs
// and over long random ones.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "levels/ladder.h"

namespace cedarring::test {
namespace {

using namespace levels;
using namespace std::chrono_literals;

constexpr int apart = 3, hold = 1, pin_length = 3;
constexpr int unreadable = 4;
constexpr double reading_of[] = {0.1, 0.3, 0.6, 0.9};  // by input, as in the model

LadderConfig ladder() {
  LadderConfig c;
  c.apart = apart * 1s;
  c.max_gap = 5s;
  c.damping = 1;
  c.levels.push_back({"0", {}, {}, {}, {}, {}});
  for (const auto& [name, bound] : {std::pair{"1", 0.5}, {"2", 0.8}})
    c.levels.push_back({name,
                        {false, {{Reading::memory, -1, true, bound, hold * 1s}}},
                        {true, {{Reading::memory, -1, false, 0.2, hold * 1s}}},
                        {},
                        {},
                        {}});
  return c;
}

/// What happens in one step: the reading, and an operator's pin (-1: none).
struct Input {
  int reading = 0, pin = -1;
};

/// models/ladder.pml, `evaluate`, for the axis of pressure.
struct Model {
  int level = 0, since = 0, pin_to = 0, pin_left = 0, exits = 0, enters1 = 0, enters2 = 0;
  bool changed = false, pinned = false;
  void move(int to) { level = to, since = 0, changed = true, exits = 0; }
  void step(const Input& in) {
    if (in.pin >= 0 && !pinned) pinned = true, pin_left = pin_length, pin_to = in.pin;
    ++since;
    enters1 = in.reading == 2 || in.reading == 3 ? enters1 + 1 : 0;
    enters2 = in.reading == 3 ? enters2 + 1 : 0;
    exits = in.reading == 0 && level > 0 ? exits + 1 : 0;
    if (pinned && pin_left == 0)
      pinned = false;
    else if (pinned)
      --pin_left;
    if (changed && since < apart) return;
    const bool up = (enters1 > hold && level < 1) || (enters2 > hold && level < 2);
    if (pinned) {
      if (pin_to != level) move(pin_to);
    } else if (up) {
      move(level + 1);
    } else if (exits > hold) {
      move(level - 1);
    }
  }
};

struct Code {
  Ladder ladder{test::ladder()};
  Time now{1'000'000'000};
  std::vector<Change> out;
  void step(const Input& in, bool pinned) {
    now += 1s;
    if (in.pin >= 0 && !pinned) ladder.pin(std::to_string(in.pin), now + pin_length * 1s, now - 1s);
    out.clear();
    ladder.step(
        now,
        [&](const Condition&) {
          return in.reading == unreadable ? Sample{} : Sample{reading_of[in.reading], now, true};
        },
        out);
  }
};

std::size_t steps = 0;

/// Every sequence of `depth` more inputs, with at most `pins` more pins.
void explore(const Model& model, const Code& code, int depth, int pins, std::string& path) {
  if (depth == 0) return;
  for (int reading = 0; reading < 4; ++reading)
    for (const int pin : {-1, 0, 2}) {
      if (pin >= 0 && (pins == 0 || model.pinned)) continue;
      auto m = model;
      auto c = code;
      const Input in{reading, pin};
      c.step(in, model.pinned);
      m.step(in);
      ++steps;
      const auto size = path.size();
      path += std::to_string(reading) + (pin >= 0 ? "p" + std::to_string(pin) + " " : " ");
      ASSERT_EQ(static_cast<int>(c.ladder.level()), m.level) << path;
      explore(m, c, depth - 1, pins - (pin >= 0 ? 1 : 0), path);
      if (::testing::Test::HasFatalFailure()) return;
      path.resize(size);
    }
}

TEST(LadderModel, EveryShortSequenceTakesTheModelsSteps) {
  std::string path;
  explore({}, {}, 7, 1, path);
  EXPECT_GT(steps, 100'000U);
}

TEST(LadderModel, LongRandomSequencesTakeTheModelsStepsAndKeepTheBound) {
  const bool ok = rc::check("model and code agree", [] {
    const auto inputs = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 5), rc::gen::weightedElement<int>({{20, -1}, {1, 0}, {1, 2}})));
    Model m;
    Code c;
    int last = -1000, at = 0;
    for (const auto& [reading, pin] : inputs) {
      const auto before = m.level;
      c.step({reading, pin}, m.pinned);
      m.step({reading, pin});
      RC_ASSERT(static_cast<int>(c.ladder.level()) == m.level);
      ++at;
      if (before != m.level) {
        RC_ASSERT(at - last >= apart);
        last = at;
      }
    }
    // Never stuck: with all well and no pin it is at normal soon.
    for (int i = 0; i < 20; ++i) c.step({0, -1}, false);
    RC_ASSERT(c.ladder.level() == 0U);
  });
  EXPECT_TRUE(ok);
}

}  // namespace
}  // namespace cedarring::test
