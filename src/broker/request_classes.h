// The request classes under which requests are accepted, over reloads of the settings.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include "cedarring/router.h"
#include "telemetry/metrics.h"

namespace cedarring::broker {

/// The index of a class in the broker's and the router's lists of classes.
inline std::size_t index_of(ClassId class_id) { return static_cast<std::size_t>(class_id.value); }

/// The terms of `configured`, made as strict as those of `other` where they decide whether a request may be
/// sent again and how old a read may be. For requests that may have been sent under either of two settings.
RequestClass stricter_terms(RequestClass configured, const RequestClass& other);

/// Keeps the classes of the settings in force, and for a transition time those of earlier settings: clients
/// learn of a reload later than the gateway. A class that was dropped may be named until the transition ends.
/// A class whose terms have changed applies with the stricter of its terms meanwhile. An id stays with its
/// class while an open request has it. No I/O and no clock; times are the caller's and must not decrease.
class RequestClasses {
 public:
  /// How long after a reload requests may still be sent under the settings before it: clients learn of it up
  /// to 1.2 s later than the gateway.
  static constexpr Duration transition = std::chrono::seconds(2);

  explicit RequestClasses(const Settings& settings);
  /// The class that a request of this name gets now; nullopt if none has the name.
  [[nodiscard]] std::optional<ClassId> find(const std::string& name, Time now) const;
  [[nodiscard]] const RequestClass& operator[](ClassId id) const {
    return entries_[index_of(id)].request_class;
  }
  /// The counters of a class, shared by classes of the same name.
  [[nodiscard]] telemetry::ClassCounts& counts(ClassId id) { return *entries_[index_of(id)].counts; }
  [[nodiscard]] const std::map<std::string, telemetry::ClassCounts>& counts_by_name() const {
    return counts_;
  }
  /// Replaces the classes by those of `settings`. `in_use`: ids (ClassId::value) of open requests' classes.
  void update(const Settings& settings, const std::unordered_set<std::int32_t>& in_use, Time now);
  /// All classes by id, those included that no request gets any more.
  [[nodiscard]] std::vector<RequestClass> all() const;

 private:
  /// Expiry time of a class of the settings in force; never reached.
  static constexpr Time no_expiry{INT64_MAX / 2};
  struct Entry {
    RequestClass request_class;
    telemetry::ClassCounts* counts = nullptr;
    Time expires_at = no_expiry;  // no request gets the class from then on
  };
  /// A class that is to get an entry.
  struct Addition {
    RequestClass request_class;
    Time expires_at;
  };
  /// Replaces the entries of a class that the new settings contain, unless it is in force already: expires
  /// them and appends their replacements.
  void replace(const RequestClass& configured, Time now, std::vector<Addition>& additions);
  void assign(std::size_t index, const Addition& addition);
  void drop_unused_counts();
  std::vector<Entry> entries_;  // by ClassId
  std::map<std::string, telemetry::ClassCounts> counts_;
};

}  // namespace cedarring::broker
