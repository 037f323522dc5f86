#include "broker/request_classes.h"

#include <algorithm>
#include <iterator>

namespace cedarring::broker {
namespace {

// Above this number of class counters, those that no class uses are dropped.
constexpr std::size_t max_class_counters = 256;

/// Replaces a `max_attempts` of 0 by the limit of the settings, so that a reload that changes this limit does
/// not change it for open requests.
RequestClass with_max_attempts(RequestClass request_class, const Settings& settings) {
  if (request_class.max_attempts == 0) request_class.max_attempts = settings.max_attempts;
  return request_class;
}

/// Makes the terms for repeats of `terms` as strict as those of `other`.
void restrict_repeats(RequestClass& terms, const RequestClass& other) {
  terms.max_attempts = std::min(terms.max_attempts, other.max_attempts);
  if (other.idempotency == Idempotency::safe || terms.idempotency == Idempotency::unsafe) return;
  if (other.idempotency == Idempotency::unsafe) {
    terms.idempotency = Idempotency::unsafe;
  } else if (terms.idempotency == Idempotency::safe) {
    terms.idempotency = Idempotency::keyed;
    terms.dedup_scope = other.dedup_scope;
    terms.dedup_window = other.dedup_window;
  } else if (terms.dedup_scope != other.dedup_scope) {
    terms.idempotency = Idempotency::unsafe;  // it is not known which hosts recognize a repeat
  } else {
    terms.dedup_window = std::min(terms.dedup_window, other.dedup_window);
  }
}

/// Makes the terms for the age of data of `terms`, a class of reads, as strict as those of `other`.
void restrict_staleness(RequestClass& terms, const RequestClass& other) {
  if (other.freshness == Freshness::bounded && terms.freshness <= Freshness::bounded)
    terms.staleness_bound = terms.freshness == Freshness::bounded
                                ? std::min(terms.staleness_bound, other.staleness_bound)
                                : other.staleness_bound;
  terms.freshness = std::max(terms.freshness, other.freshness);
}

}  // namespace

RequestClass stricter_terms(RequestClass configured, const RequestClass& other) {
  restrict_repeats(configured, other);
  if (configured.freshness != Freshness::write && other.freshness != Freshness::write)
    restrict_staleness(configured, other);
  return configured;
}

RequestClasses::RequestClasses(const Settings& settings) {
  for (const auto& request_class : settings.classes) {
    entries_.emplace_back();
    assign(entries_.size() - 1, {with_max_attempts(request_class, settings), no_expiry});
  }
}

/// The entry of the transition comes before that of the settings in force.
std::optional<ClassId> RequestClasses::find(const std::string& name, Time now) const {
  const Entry* found = nullptr;
  for (const auto& entry : entries_)
    if (entry.request_class.name == name && now < entry.expires_at &&
        (!found || entry.expires_at < found->expires_at))
      found = &entry;
  if (!found) return std::nullopt;
  return ClassId{static_cast<std::int32_t>(found - entries_.data())};
}

void RequestClasses::update(const Settings& settings, const std::unordered_set<std::int32_t>& in_use,
                            Time now) {
  std::vector<Addition> additions;
  for (auto& entry : entries_) {
    const bool configured = std::any_of(
        settings.classes.begin(), settings.classes.end(),
        [&](const RequestClass& candidate) { return candidate.name == entry.request_class.name; });
    if (!configured) entry.expires_at = std::min(entry.expires_at, now + transition);
  }
  for (const auto& configured : settings.classes)
    replace(with_max_attempts(configured, settings), now, additions);
  // An added class takes the entry of an expired class without open requests, or a new entry.
  std::size_t index = 0;
  for (const auto& addition : additions) {
    while (index < entries_.size() &&
           (entries_[index].expires_at > now || in_use.count(static_cast<std::int32_t>(index)) > 0))
      ++index;
    if (index == entries_.size()) entries_.emplace_back();
    assign(index, addition);
  }
  drop_unused_counts();
}

void RequestClasses::replace(const RequestClass& configured, Time now, std::vector<Addition>& additions) {
  const bool unchanged = std::any_of(entries_.begin(), entries_.end(), [&](const Entry& entry) {
    return entry.expires_at == no_expiry && entry.request_class == configured;
  });
  if (unchanged) return;
  auto terms_in_transition = configured;
  for (auto& entry : entries_) {
    if (entry.request_class.name != configured.name || entry.expires_at <= now) continue;
    terms_in_transition = stricter_terms(terms_in_transition, entry.request_class);
    entry.expires_at = now;
  }
  additions.push_back({configured, no_expiry});
  if (!(terms_in_transition == configured)) additions.push_back({terms_in_transition, now + transition});
}

void RequestClasses::assign(std::size_t index, const Addition& addition) {
  entries_[index] = {addition.request_class, &counts_[addition.request_class.name], addition.expires_at};
}

/// Bounds memory: counters that no class uses are dropped once there are many.
void RequestClasses::drop_unused_counts() {
  for (auto it = counts_.begin(); it != counts_.end() && counts_.size() > max_class_counters;) {
    const bool used = std::any_of(entries_.begin(), entries_.end(),
                                  [&](const Entry& entry) { return entry.counts == &it->second; });
    it = used ? std::next(it) : counts_.erase(it);
  }
}

std::vector<RequestClass> RequestClasses::all() const {
  std::vector<RequestClass> classes;
  for (const auto& entry : entries_) classes.push_back(entry.request_class);
  return classes;
}

}  // namespace cedarring::broker
