// Tests of RequestClasses: which terms a request gets around reloads of the settings.
#include "broker/request_classes.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace cedarring::test {
namespace {

using namespace broker;
using namespace std::chrono_literals;

RequestClass class_with(const std::string& name, Idempotency idempotency, Duration window = 1s) {
  RequestClass request_class;
  request_class.name = name;
  request_class.latency_target = 100ms;
  request_class.deadline = 2s;
  request_class.idempotency = idempotency;
  request_class.dedup_scope = DedupScope::group;
  request_class.dedup_window = window;
  request_class.max_attempts = 3;
  return request_class;
}
Settings settings_of(const std::vector<RequestClass>& classes) {
  Settings settings;
  settings.classes = classes;
  return settings;
}
constexpr Time start = 10s;
constexpr Duration clients_follow_after = 1200ms;  // clients name the classes of a new file from then on
const std::unordered_set<std::int32_t> none_in_use;

Idempotency idempotency_of(const RequestClasses& classes, const std::string& name, Time now) {
  const auto id = classes.find(name, now);
  return id ? classes[*id].idempotency : Idempotency::safe;
}

// Guards against a class that is dropped, comes back stricter, and is served under its dropped terms.
TEST(RequestClasses, ClassThatComesBackStricterIsServedUnderItsNewTermsAtOnce) {
  const auto other = class_with("other", Idempotency::safe);
  RequestClasses classes(settings_of({other, class_with("pay", Idempotency::keyed)}));
  classes.update(settings_of({other}), none_in_use, start);
  EXPECT_EQ(idempotency_of(classes, "pay", start), Idempotency::keyed)
      << "a dropped class may be named for a while";
  classes.update(settings_of({other, class_with("pay", Idempotency::unsafe)}), none_in_use, start + 300ms);
  for (const auto after : {300ms, 1500ms, 1999ms, 2000ms, 2300ms, 9000ms})
    EXPECT_EQ(idempotency_of(classes, "pay", start + after), Idempotency::unsafe) << after.count();
}

// Guards against requests that were sent under the terms before a reload and run twice under looser ones.
TEST(RequestClasses, LooserTermsApplyOnceClientsHaveLearnedOfTheReload) {
  RequestClasses classes(settings_of({class_with("pay", Idempotency::unsafe)}));
  classes.update(settings_of({class_with("pay", Idempotency::keyed)}), none_in_use, start);
  EXPECT_EQ(idempotency_of(classes, "pay", start + clients_follow_after), Idempotency::unsafe);
  EXPECT_EQ(idempotency_of(classes, "pay", start + RequestClasses::transition), Idempotency::keyed);
}

TEST(RequestClasses, DroppedClassMayBeNamedUntilTheTransitionEnds) {
  const auto other = class_with("other", Idempotency::safe);
  RequestClasses classes(settings_of({other, class_with("pay", Idempotency::keyed)}));
  classes.update(settings_of({other}), none_in_use, start);
  EXPECT_TRUE(classes.find("pay", start + RequestClasses::transition - 1ms));
  EXPECT_FALSE(classes.find("pay", start + RequestClasses::transition));
  EXPECT_TRUE(classes.find("other", start + RequestClasses::transition));
  classes.update(settings_of({other}), none_in_use, start + 1s);
  EXPECT_FALSE(classes.find("pay", start + RequestClasses::transition))
      << "a second reload gives it no more time";
}

TEST(RequestClasses, ClassOfAnOpenRequestKeepsItsId) {
  RequestClasses classes(settings_of({class_with("pay", Idempotency::keyed)}));
  const std::unordered_set<std::int32_t> in_use{0};
  for (int i = 1; i <= 20; ++i)
    classes.update(settings_of({class_with("pay", Idempotency::keyed, Duration(i))}), in_use, start + i * 3s);
  EXPECT_EQ(classes[ClassId{0}].dedup_window, 1s);
  EXPECT_LE(classes.all().size(), 5U) << "entries without open requests are used again";
}

TEST(RequestClasses, StricterTermsAllowNoRepeatAndNoOlderDataThanEither) {
  auto keyed = class_with("c", Idempotency::keyed, 500ms);
  const auto safe = class_with("c", Idempotency::safe);
  const auto unsafe = class_with("c", Idempotency::unsafe);
  EXPECT_EQ(stricter_terms(safe, unsafe).idempotency, Idempotency::unsafe);
  EXPECT_EQ(stricter_terms(keyed, safe).dedup_window, 500ms);
  EXPECT_EQ(stricter_terms(safe, keyed).idempotency, Idempotency::keyed);
  EXPECT_EQ(stricter_terms(safe, keyed).dedup_window, 500ms);
  EXPECT_EQ(stricter_terms(keyed, class_with("c", Idempotency::keyed, 300ms)).dedup_window, 300ms);
  auto other_scope = keyed;
  other_scope.dedup_scope = DedupScope::zone;
  EXPECT_EQ(stricter_terms(keyed, other_scope).idempotency, Idempotency::unsafe);
  auto fewer_attempts = safe;
  fewer_attempts.max_attempts = 1;
  EXPECT_EQ(stricter_terms(safe, fewer_attempts).max_attempts, 1U);
  auto bounded = safe;
  bounded.freshness = Freshness::bounded;
  bounded.staleness_bound = 200ms;
  EXPECT_EQ(stricter_terms(safe, bounded), bounded);
  EXPECT_EQ(stricter_terms(bounded, safe), bounded);
  auto fresh = safe;
  fresh.freshness = Freshness::fresh;
  EXPECT_EQ(stricter_terms(bounded, fresh).freshness, Freshness::fresh);
}

// Whatever files follow each other: a request gets terms at most as loose as those of each file under which
// its client may have sent it.
TEST(RequestClasses, NoRequestGetsLooserTermsThanAFileThatItsClientMayKnow) {
  rc::check([] {
    struct File {
      Time loaded_at;
      std::optional<Idempotency> idempotency;  // nullopt: the file lacks the class
    };
    const auto any = rc::gen::elementOf(std::vector<std::optional<Idempotency>>{
        std::nullopt, Idempotency::safe, Idempotency::keyed, Idempotency::unsafe});
    const auto other = class_with("other", Idempotency::safe);
    const auto settings = [&](const std::optional<Idempotency>& idempotency) {
      return idempotency ? settings_of({other, class_with("pay", *idempotency)}) : settings_of({other});
    };
    std::vector<File> files{{Time::zero(), *any}};
    RequestClasses classes(settings(files[0].idempotency));
    Time now = start;
    for (int i = 0; i < 12; ++i) {
      now += std::chrono::milliseconds(*rc::gen::inRange(1, 1500));
      files.push_back({now, *any});
      classes.update(settings(files.back().idempotency), none_in_use, now);
      const auto at = now + std::chrono::milliseconds(*rc::gen::inRange(0, 1500));
      for (std::size_t k = 0; k < files.size(); ++k) {
        const bool superseded = k + 1 < files.size() && files[k + 1].loaded_at + clients_follow_after <= at;
        if (superseded || !files[k].idempotency) continue;
        const auto id = classes.find("pay", at);
        RC_ASSERT(id.has_value());
        RC_ASSERT(classes[*id].idempotency >= *files[k].idempotency);
      }
      now = std::max(now, at);
    }
  });
}

}  // namespace
}  // namespace cedarring::test
