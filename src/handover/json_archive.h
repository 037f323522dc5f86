// Serialization of records as JSON objects, for the messages between the two processes of a gateway. A record
// type lists its fields once, in a function `serialize(archive, record)`, which calls `archive(key, field)`
// for each field; the archive is a JsonWriter or a JsonReader. On reading, a missing field keeps its value,
// an unknown field is skipped, and a field of the wrong type or out of range makes the whole record invalid.
// No I/O.
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

/// Writes records to a buffer, which must outlive the writer. Durations are written in microseconds, an
/// absent optional value as null, a pair as an array of two elements, a map as an object.
class JsonWriter {
 public:
  explicit JsonWriter(rapidjson::StringBuffer& buffer) : writer_(buffer) {}
  /// Writes one field of the current object.
  template <class T>
  void operator()(const char* key, const T& value) {
    writer_.Key(key);
    write(value);
  }
  /// Writes a boolean or a number, or a record by its serialize function. Infinite numbers and NaN become 0.
  template <class T>
  void write(const T& value) {
    if constexpr (std::is_same_v<T, bool>)
      writer_.Bool(value);
    else if constexpr (std::is_floating_point_v<T>)
      writer_.Double(std::isfinite(value) ? value : 0);
    else if constexpr (std::is_integral_v<T> && std::is_signed_v<T>)
      writer_.Int64(value);
    else if constexpr (std::is_integral_v<T>)
      writer_.Uint64(value);
    else {
      writer_.StartObject();
      // A writer only reads the record; serialize takes it as non-const because JsonReader fills it.
      serialize(*this, const_cast<T&>(value));
      writer_.EndObject();
    }
  }
  void write(const std::string& value) {
    writer_.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
  }
  void write(Duration value) { writer_.Int64(value.count()); }
  template <class Tag, class Rep>
  void write(Id<Tag, Rep> id) {
    write(id.value);
  }
  template <class T>
  void write(const std::optional<T>& value) {
    if (value)
      write(*value);
    else
      writer_.Null();
  }
  template <class First, class Second>
  void write(const std::pair<First, Second>& pair) {
    writer_.StartArray();
    write(pair.first);
    write(pair.second);
    writer_.EndArray();
  }
  template <class T>
  void write(const std::vector<T>& values) {
    writer_.StartArray();
    for (const auto& value : values) write(value);
    writer_.EndArray();
  }
  template <class T>
  void write(const std::map<std::string, T>& values) {
    writer_.StartObject();
    for (const auto& [key, value] : values) (*this)(key.c_str(), value);
    writer_.EndObject();
  }
  /// Begins a document: an array of the format version and one record, which is to be written next.
  void begin_document(int version) {
    writer_.StartArray();
    writer_.Int(version);
  }
  /// Ends the document after its record.
  void end_document() { writer_.EndArray(); }

 private:
  rapidjson::Writer<rapidjson::StringBuffer> writer_;
};

/// Reads records from a parsed JSON value, which must outlive the reader. Accepts the forms that JsonWriter
/// writes.
class JsonReader {
 public:
  explicit JsonReader(const rapidjson::Value& object) : object_(&object) {}
  /// Reads one field of the current object, if it is there.
  template <class T>
  void operator()(const char* key, T& value) {
    if (!object_->IsObject()) return fail();
    if (const auto it = object_->FindMember(key); it != object_->MemberEnd()) read(it->value, value);
  }
  /// Whether every field so far had the expected type and range.
  [[nodiscard]] bool good() const { return good_; }
  /// Reads a boolean or a number, or a record by its serialize function. If `json` is invalid, good() returns
  /// false from then on.
  template <class T>
  void read(const rapidjson::Value& json, T& value) {
    if constexpr (std::is_same_v<T, bool>) {
      if (!json.IsBool()) return fail();
      value = json.GetBool();
    } else if constexpr (std::is_floating_point_v<T>) {
      if (!json.IsNumber()) return fail();
      value = json.GetDouble();
    } else if constexpr (std::is_integral_v<T>) {
      read_integer(json, value);
    } else {
      const auto* outer = std::exchange(object_, &json);
      if (json.IsObject())
        serialize(*this, value);
      else
        fail();
      object_ = outer;
    }
  }
  void read(const rapidjson::Value& json, std::string& value) {
    if (!json.IsString()) return fail();
    value.assign(json.GetString(), json.GetStringLength());
  }
  void read(const rapidjson::Value& json, Duration& value) {
    // The limit keeps the sum of two durations within 63 bits.
    if (!json.IsInt64() || std::abs(json.GetInt64()) >= INT64_MAX / 4) return fail();
    value = Duration(json.GetInt64());
  }
  template <class Tag, class Rep>
  void read(const rapidjson::Value& json, Id<Tag, Rep>& id) {
    read_integer(json, id.value);
  }
  template <class T>
  void read(const rapidjson::Value& json, std::optional<T>& value) {
    if (json.IsNull()) return value.reset();
    read(json, value.emplace());
  }
  template <class First, class Second>
  void read(const rapidjson::Value& json, std::pair<First, Second>& pair) {
    if (!json.IsArray() || json.Size() != 2) return fail();
    read(json[0], pair.first);
    read(json[1], pair.second);
  }
  template <class T>
  void read(const rapidjson::Value& json, std::vector<T>& values) {
    if (!json.IsArray()) return fail();
    values.clear();
    for (const auto& element : json.GetArray()) read(element, values.emplace_back());
  }
  template <class T>
  void read(const rapidjson::Value& json, std::map<std::string, T>& values) {
    if (!json.IsObject()) return fail();
    values.clear();
    for (const auto& member : json.GetObject())
      read(member.value, values[{member.name.GetString(), member.name.GetStringLength()}]);
  }

 private:
  void fail() { good_ = false; }
  template <class T>
  void read_integer(const rapidjson::Value& json, T& value) {
    if constexpr (std::is_signed_v<T>) {
      if (json.IsInt64() && json.GetInt64() >= std::numeric_limits<T>::min() &&
          json.GetInt64() <= std::numeric_limits<T>::max())
        return void(value = static_cast<T>(json.GetInt64()));
    } else {
      if (json.IsUint64() && json.GetUint64() <= std::numeric_limits<T>::max())
        return void(value = static_cast<T>(json.GetUint64()));
    }
    fail();
  }
  const rapidjson::Value* object_;  // the current object, whose fields operator() reads
  bool good_ = true;
};

/// Version of the document format, to be raised if a field changes its meaning; documents of another version
/// are rejected.
inline constexpr int format_version = 1;

/// Writes a record as a document.
template <class T>
std::string to_text(const T& record) {
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  writer.begin_document(format_version);
  writer.write(record);
  writer.end_document();
  return {buffer.GetString(), buffer.GetSize()};
}

/// Reads a document and returns its record; nothing if the document is malformed or truncated, has another
/// version, or has an invalid field.
template <class T>
std::optional<T> from_text(const std::string& text) {
  rapidjson::Document document;
  document.Parse<rapidjson::kParseIterativeFlag>(text.data(), text.size());
  if (document.HasParseError() || !document.IsArray() || document.Size() != 2 || !document[0].IsInt() ||
      document[0].GetInt() != format_version)
    return std::nullopt;
  T record;
  JsonReader reader(document);
  reader.read(document[1], record);
  if (!reader.good()) return std::nullopt;
  return record;
}

}  // namespace cedarring::handover
