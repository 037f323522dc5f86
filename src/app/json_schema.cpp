#include "app/json_schema.h"

#include <rapidjson/error/en.h>
#include <rapidjson/pointer.h>
#include <rapidjson/schema.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>

namespace cedarring::app {
namespace {

std::string to_string(const rapidjson::Pointer& pointer) {
  rapidjson::StringBuffer buffer;
  pointer.Stringify(buffer);
  return {buffer.GetString(), buffer.GetSize()};
}

/// The first key of an object that its schema does not list; empty if there is none.
std::string first_unknown_key(const rapidjson::Value& object, const rapidjson::Value& schema) {
  const auto properties = schema.FindMember("properties");
  if (!object.IsObject() || properties == schema.MemberEnd()) return "";
  for (const auto& entry : object.GetObject())
    if (!properties->value.HasMember(entry.name)) return entry.name.GetString();
  return "";
}

}  // namespace

ConfigError config_error_at(const std::string& file, const std::string& pointer, const std::string& expected,
                            const std::string& found) {
  return ConfigError(file + ": " + (pointer.empty() ? "/" : pointer) + ": expected " + expected + ", found " +
                     found);
}

std::string to_excerpt(const rapidjson::Value& value) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  value.Accept(writer);
  std::string text(buffer.GetString(), buffer.GetSize());
  constexpr std::size_t max_length = 80;
  if (text.size() > max_length) {
    text.resize(max_length - 3);
    text += "...";
  }
  return text;
}

rapidjson::Document parse_object(const std::string& text, const std::string& file) {
  rapidjson::Document document;
  document.Parse<rapidjson::kParseIterativeFlag | rapidjson::kParseFullPrecisionFlag>(text.c_str(),
                                                                                      text.size());
  if (document.HasParseError()) {
    const auto line =
        1 + std::count(
                text.begin(),
                text.begin() + static_cast<std::ptrdiff_t>(std::min(document.GetErrorOffset(), text.size())),
                '\n');
    throw config_error_at(
        file, "", "a JSON object",
        std::string(rapidjson::GetParseError_En(document.GetParseError())) + " Line " + std::to_string(line));
  }
  if (!document.IsObject()) throw config_error_at(file, "", "a JSON object", to_excerpt(document));
  return document;
}

void check_schema(const rapidjson::Document& document, const char* schema, const std::string& file) {
  rapidjson::Document schema_json;
  schema_json.Parse(schema);
  if (schema_json.HasParseError()) throw ConfigError("the built-in schema is not valid JSON");
  const rapidjson::SchemaDocument compiled(schema_json);
  rapidjson::SchemaValidator validator(compiled);
  if (document.Accept(validator)) return;
  auto pointer = to_string(validator.GetInvalidDocumentPointer());
  const std::string keyword = validator.GetInvalidSchemaKeyword();
  const auto* violated = validator.GetInvalidSchemaPointer().Get(schema_json);
  const auto* value = validator.GetInvalidDocumentPointer().Get(document);
  if (keyword == "additionalProperties") {
    // Depending on the version of RapidJSON, the pointer names the unknown member or the object around it.
    auto key = value && violated ? first_unknown_key(*value, *violated) : "";
    if (!key.empty())
      pointer += "/" + key;
    else
      key = pointer.substr(pointer.rfind('/') + 1);
    throw config_error_at(file, pointer, "a key that the schema defines", "'" + key + "'");
  }
  std::string expected = keyword;
  if (violated && violated->IsObject())
    if (const auto found = violated->FindMember(keyword.c_str()); found != violated->MemberEnd())
      expected += " " + to_excerpt(found->value);
  throw config_error_at(file, pointer, expected, value ? to_excerpt(*value) : "nothing");
}

}  // namespace cedarring::app
