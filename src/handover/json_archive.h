// Records as JSON objects and back. A record names its fields once, in a function `serialize(archive,
// record)`; JsonWriter writes them, JsonReader reads them: a field that is not there keeps its value, one
// that is not known is skipped, one of another kind spoils the whole. No I/O.
#pragma once

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <cmath>
#include <cstdint>
#include <cstdlib>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

#include "cedarring/router.h"

namespace cedarring::handover {

class JsonWriter {
 public:
  explicit JsonWriter(rapidjson::StringBuffer& to) : w_(to) {}
  template <class T>
  void operator()(const char* key, const T& v) {
    w_.Key(key), put(v);
  }
  template <class T>
  void put(const T& v) {
    if constexpr (std::is_same_v<T, bool>)
      w_.Bool(v);
    else if constexpr (std::is_floating_point_v<T>)
      w_.Double(std::isfinite(v) ? v : 0);
    else if constexpr (std::is_integral_v<T> && std::is_signed_v<T>)
      w_.Int64(v);
    else if constexpr (std::is_integral_v<T>)
      w_.Uint64(v);
    else {
      w_.StartObject();
      serialize(*this, const_cast<T&>(v));  // which only reads it: one function for both ways
      w_.EndObject();
    }
  }
  void put(const std::string& v) { w_.String(v.data(), static_cast<rapidjson::SizeType>(v.size())); }
  void put(Duration v) { w_.Int64(v.count()); }
  template <class Tag, class Rep>
  void put(Id<Tag, Rep> v) {
    put(v.value);
  }
  template <class T>
  void put(const std::optional<T>& v) {
    if (v)
      put(*v);
    else
      w_.Null();
  }
  template <class A, class B>
  void put(const std::pair<A, B>& v) {
    w_.StartArray(), put(v.first), put(v.second), w_.EndArray();
  }
  template <class T>
  void put(const std::vector<T>& v) {
    w_.StartArray();
    for (const auto& x : v) put(x);
    w_.EndArray();
  }
  template <class T>
  void put(const std::map<std::string, T>& v) {
    w_.StartObject();
    for (const auto& [key, x] : v) (*this)(key.c_str(), x);
    w_.EndObject();
  }
  void begin(int v) { w_.StartArray(), w_.Int(v); }
  void end() { w_.EndArray(); }

 private:
  rapidjson::Writer<rapidjson::StringBuffer> w_;
};

class JsonReader {
 public:
  explicit JsonReader(const rapidjson::Value& from) : from_(&from) {}
  template <class T>
  void operator()(const char* key, T& v) {
    if (!from_->IsObject()) return fail();
    if (const auto it = from_->FindMember(key); it != from_->MemberEnd()) take(it->value, v);
  }
  [[nodiscard]] bool good() const { return good_; }
  template <class T>
  void take(const rapidjson::Value& j, T& v) {
    if constexpr (std::is_same_v<T, bool>)
      j.IsBool() ? void(v = j.GetBool()) : fail();
    else if constexpr (std::is_floating_point_v<T>)
      j.IsNumber() ? void(v = j.GetDouble()) : fail();
    else if constexpr (std::is_integral_v<T>)
      whole(j, v);
    else {
      const auto* outer = std::exchange(from_, &j);
      if (j.IsObject())
        serialize(*this, v);
      else
        fail();
      from_ = outer;
    }
  }
  void take(const rapidjson::Value& j, std::string& v) {
    j.IsString() ? void(v.assign(j.GetString(), j.GetStringLength())) : fail();
  }
  void take(const rapidjson::Value& j, Duration& v) {
    // Sums of two stay within 63 bits.
    j.IsInt64() && std::abs(j.GetInt64()) < INT64_MAX / 4 ? void(v = Duration(j.GetInt64())) : fail();
  }
  template <class Tag, class Rep>
  void take(const rapidjson::Value& j, Id<Tag, Rep>& v) {
    whole(j, v.value);
  }
  template <class T>
  void take(const rapidjson::Value& j, std::optional<T>& v) {
    if (j.IsNull()) return v.reset();
    take(j, v.emplace());
  }
  template <class A, class B>
  void take(const rapidjson::Value& j, std::pair<A, B>& v) {
    if (!j.IsArray() || j.Size() != 2) return fail();
    take(j[0], v.first), take(j[1], v.second);
  }
  template <class T>
  void take(const rapidjson::Value& j, std::vector<T>& v) {
    if (!j.IsArray()) return fail();
    v.clear();
    for (const auto& x : j.GetArray()) take(x, v.emplace_back());
  }
  template <class T>
  void take(const rapidjson::Value& j, std::map<std::string, T>& v) {
    if (!j.IsObject()) return fail();
    v.clear();
    for (const auto& m : j.GetObject()) take(m.value, v[{m.name.GetString(), m.name.GetStringLength()}]);
  }

 private:
  void fail() { good_ = false; }
  template <class T>
  void whole(const rapidjson::Value& j, T& v) {
    if constexpr (std::is_signed_v<T>) {
      if (j.IsInt64() && j.GetInt64() >= std::numeric_limits<T>::min() &&
          j.GetInt64() <= std::numeric_limits<T>::max())
        return void(v = static_cast<T>(j.GetInt64()));
    } else {
      if (j.IsUint64() && j.GetUint64() <= std::numeric_limits<T>::max())
        return void(v = static_cast<T>(j.GetUint64()));
    }
    fail();
  }
  const rapidjson::Value* from_;
  bool good_ = true;
};

inline constexpr int format_version = 1;  // of what fields mean; another one cannot be read

template <class T>
std::string to_text(const T& record) {
  rapidjson::StringBuffer buffer;
  JsonWriter put(buffer);
  put.begin(format_version), put.put(record), put.end();
  return {buffer.GetString(), buffer.GetSize()};
}

/// Nothing for a text of another form, or one that is not whole.
template <class T>
std::optional<T> from_text(const std::string& text) {
  rapidjson::Document d;
  d.Parse<rapidjson::kParseIterativeFlag>(text.data(), text.size());
  if (d.HasParseError() || !d.IsArray() || d.Size() != 2 || !d[0].IsInt() || d[0].GetInt() != format_version)
    return std::nullopt;
  T record;
  JsonReader take(d);
  take.take(d[1], record);
  if (!take.good()) return std::nullopt;
  return record;
}

}  // namespace cedarring::handover
