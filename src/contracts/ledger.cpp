#include "contracts/ledger.h"

#include <algorithm>

namespace cedarring::contracts {
namespace {

constexpr int bin_count = 120;
constexpr double min_ms = 1;
constexpr double max_ms = 100'000;
// Share of max_ms at which longer times count: the upper end itself lies outside the axis.
constexpr double largest_on_axis = 0.999;

}  // namespace

AnswerTimes::AnswerTimes() : bins_(std::make_tuple(Axis(bin_count, min_ms, max_ms))) {}

void AnswerTimes::add(Duration elapsed, std::uint64_t count) {
  const double ms = std::clamp(static_cast<double>(elapsed.count()) / 1000, min_ms, max_ms * largest_on_axis);
  bins_.at(bins_.axis().index(ms)) += static_cast<std::uint32_t>(count);
}

AnswerTimes& AnswerTimes::operator+=(const AnswerTimes& other) {
  bins_ += other.bins_;
  return *this;
}

std::vector<std::pair<std::int32_t, std::uint32_t>> AnswerTimes::filled() const {
  std::vector<std::pair<std::int32_t, std::uint32_t>> all;
  for (int i = 0; i < bin_count; ++i)
    if (const auto count = static_cast<std::uint32_t>(bins_.at(i)); count > 0) all.emplace_back(i, count);
  return all;
}

void AnswerTimes::add(const std::vector<std::pair<std::int32_t, std::uint32_t>>& filled) {
  for (const auto& [index, count] : filled)
    if (index >= 0 && index < bin_count) bins_.at(index) += count;
}

std::uint64_t AnswerTimes::count() const {
  std::uint64_t sum = 0;
  for (int i = 0; i < bin_count; ++i) sum += bins_.at(i);
  return sum;
}

double AnswerTimes::quantile(double quantile) const {
  const auto total = count();
  if (total == 0) return 0;
  const auto rank = static_cast<double>(total) * std::clamp(quantile, 0.0, 1.0);
  std::uint64_t cumulative = 0;
  for (int i = 0; i < bin_count; ++i) {
    cumulative += bins_.at(i);
    if (static_cast<double>(cumulative) >= rank && cumulative > 0) return bins_.axis().bin(i).upper();
  }
  return max_ms;
}

LedgerEntry& LedgerEntry::operator+=(const LedgerEntry& other) {
  asked += other.asked;
  within += other.within;
  beyond += other.beyond;
  in_time += other.in_time;
  late += other.late;
  failed += other.failed;
  abandoned += other.abandoned;
  refused_contract += other.refused_contract;
  refused_contention += other.refused_contention;
  refused_levels += other.refused_levels;
  refused_router += other.refused_router;
  within_in_time += other.within_in_time;
  within_ended += other.within_ended;
  cost += other.cost;
  borrowed += other.borrowed;
  return *this;
}

}  // namespace cedarring::contracts
