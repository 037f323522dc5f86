// Checks src/levels/ladder.cpp against models/ladder.pml: a C++ copy of the model and the ladder have to take
// the same steps for every short sequence of inputs and for long random sequences of inputs.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "levels/ladder.h"

namespace cedarring::test {
namespace {

using namespace levels;
using namespace std::chrono_literals;

// The model's constants, in steps. One step is one second of the ladder's time.
constexpr int min_change_interval = 3;
constexpr int hold_time = 1;
constexpr int pin_length = 3;
// The model's inputs: 0 to 3 stand for these readings, and 4 for an unusable reading.
constexpr double reading_by_input[] = {0.1, 0.3, 0.6, 0.9};
constexpr int unusable_input = 4;

/// The ladder of the model: levels 0, 1 and 2, entered above a memory reading of 0.5 and 0.8, left at or
/// below 0.2.
LadderConfig ladder_config() {
  LadderConfig config;
  config.min_change_interval = min_change_interval * 1s;
  config.max_evaluation_gap = 5s;
  config.damping = 1;
  config.levels.push_back({"0", {}, {}, {}, {}, {}});
  for (const auto& [name, bound] : {std::pair{"1", 0.5}, {"2", 0.8}})
    config.levels.push_back({name,
                             {false, {{Reading::memory, -1, true, bound, hold_time * 1s}}},
                             {true, {{Reading::memory, -1, false, 0.2, hold_time * 1s}}},
                             {},
                             {},
                             {}});
  return config;
}

/// The events of one step.
struct Input {
  int reading = 0;     // input of the model, 0 to 4
  int pin_level = -1;  // an operator's pin to this level; -1: no pin
};

/// Copy of `evaluate` and `move` in models/ladder.pml for the pressure axis, under the names that they have
/// there. Times are in steps.
struct Model {
  int level = 0;
  int since_change = 0;
  int pin_level = 0;
  int pin_remaining = 0;
  int exit_steps = 0;    // for which the exit condition has held
  int enter1_steps = 0;  // for which the entry condition of level 1 has held
  int enter2_steps = 0;  // for which the entry condition of level 2 has held
  bool has_changed = false;
  bool pinned = false;
  void move(int to) {
    level = to;
    since_change = 0;
    has_changed = true;
    exit_steps = 0;
  }
  void step(const Input& input) {
    if (input.pin_level >= 0 && !pinned) {
      pinned = true;
      pin_remaining = pin_length;
      pin_level = input.pin_level;
    }
    ++since_change;
    enter1_steps = input.reading == 2 || input.reading == 3 ? enter1_steps + 1 : 0;
    enter2_steps = input.reading == 3 ? enter2_steps + 1 : 0;
    exit_steps = input.reading == 0 && level > 0 ? exit_steps + 1 : 0;
    if (pinned && pin_remaining == 0)
      pinned = false;
    else if (pinned)
      --pin_remaining;
    if (has_changed && since_change < min_change_interval) return;
    const bool may_enter = (enter1_steps > hold_time && level < 1) || (enter2_steps > hold_time && level < 2);
    if (pinned) {
      if (pin_level != level) move(pin_level);
    } else if (may_enter) {
      move(level + 1);
    } else if (exit_steps > hold_time) {
      move(level - 1);
    }
  }
};

/// The ladder under test, driven by the inputs of the model.
struct Implementation {
  Ladder ladder{ladder_config()};
  Time now{1'000'000'000};
  std::vector<LevelChange> changes;
  /// `pinned`: the model has a pin already, so that it ignores a further pin.
  void step(const Input& input, bool pinned) {
    now += 1s;
    if (input.pin_level >= 0 && !pinned)
      ladder.pin(std::to_string(input.pin_level), now + pin_length * 1s, now - 1s);
    changes.clear();
    ladder.step(
        now,
        [&](const Condition&) {
          return input.reading == unusable_input ? Sample{}
                                                 : Sample{reading_by_input[input.reading], now, true};
        },
        changes);
  }
};

std::size_t steps_explored = 0;

/// Runs every sequence of `depth` further inputs, with at most `max_pins` further pins. `path`: the inputs so
/// far, for messages.
void explore(const Model& model, const Implementation& implementation, int depth, int max_pins,
             std::string& path) {
  if (depth == 0) return;
  for (int reading = 0; reading < 4; ++reading)
    for (const int pin : {-1, 0, 2}) {
      if (pin >= 0 && (max_pins == 0 || model.pinned)) continue;
      auto next_model = model;
      auto next_implementation = implementation;
      const Input input{reading, pin};
      next_implementation.step(input, model.pinned);
      next_model.step(input);
      ++steps_explored;
      const auto path_length = path.size();
      path += std::to_string(reading) + (pin >= 0 ? "p" + std::to_string(pin) + " " : " ");
      ASSERT_EQ(static_cast<int>(next_implementation.ladder.level_index()), next_model.level) << path;
      explore(next_model, next_implementation, depth - 1, max_pins - (pin >= 0 ? 1 : 0), path);
      if (::testing::Test::HasFatalFailure()) return;
      path.resize(path_length);
    }
}

TEST(LadderModel, EveryShortInputSequenceTakesTheStepsOfTheModel) {
  std::string path;
  constexpr int depth = 7;
  constexpr int max_pins = 1;
  explore({}, {}, depth, max_pins, path);
  EXPECT_GT(steps_explored, 100'000U);
}

TEST(LadderModel, LongRandomSequencesTakeTheStepsOfTheModelAndKeepTheMinimumChangeInterval) {
  const bool ok = rc::check("model and ladder agree", [] {
    const auto inputs = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 5), rc::gen::weightedElement<int>({{20, -1}, {1, 0}, {1, 2}})));
    Model model;
    Implementation implementation;
    int last_change = -1000;
    int step = 0;
    for (const auto& [reading, pin] : inputs) {
      const auto previous_level = model.level;
      implementation.step({reading, pin}, model.pinned);
      model.step({reading, pin});
      RC_ASSERT(static_cast<int>(implementation.ladder.level_index()) == model.level);
      ++step;
      if (previous_level != model.level) {
        RC_ASSERT(step - last_change >= min_change_interval);
        last_change = step;
      }
    }
    // Without load and without a pin the ladder returns to the normal level.
    for (int i = 0; i < 20; ++i) implementation.step({0, -1}, false);
    RC_ASSERT(implementation.ladder.level_index() == 0U);
  });
  EXPECT_TRUE(ok);
}

}  // namespace
}  // namespace cedarring::test
