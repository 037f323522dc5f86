// Parsing of JSON documents and validation against a schema. Errors name the file, the JSON pointer, the
// expected value and the value found.
#pragma once

#include <rapidjson/document.h>

#include <stdexcept>
#include <string>

namespace cedarring::app {

/// Thrown for a configuration that cannot be used; the message names the place and the error.
class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// The error for a value at `pointer` in `file`, as a one-line message.
[[nodiscard]] ConfigError config_error_at(const std::string& file, const std::string& pointer,
                                          const std::string& expected, const std::string& found);

/// Parses a JSON object. Throws ConfigError, with the line number of a syntax error.
rapidjson::Document parse_object(const std::string& text, const std::string& file);

/// Throws ConfigError for the first violation of the schema.
void check_schema(const rapidjson::Document& document, const char* schema, const std::string& file);

/// The member of an object with that key; null if there is none.
inline const rapidjson::Value* member(const rapidjson::Value& object, const char* key) {
  const auto found = object.FindMember(key);
  return found == object.MemberEnd() ? nullptr : &found->value;
}

/// The value as JSON text, truncated to 80 characters for messages.
std::string to_excerpt(const rapidjson::Value& value);

}  // namespace cedarring::app
