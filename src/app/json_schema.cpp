#include "app/json_schema.h"

#include <rapidjson/error/en.h>
#include <rapidjson/pointer.h>
#include <rapidjson/schema.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>

namespace cedarring::app {
namespace {

std::string text_of(const rapidjson::Pointer& pointer) {
  rapidjson::StringBuffer buffer;
  pointer.Stringify(buffer);
  return {buffer.GetString(), buffer.GetSize()};
}

/// The first member of an object that its schema does not name.
std::string unknown_member(const rapidjson::Value& object, const rapidjson::Value& schema) {
  const auto properties = schema.FindMember("properties");
  if (!object.IsObject() || properties == schema.MemberEnd()) return "";
  for (const auto& m : object.GetObject())
    if (!properties->value.HasMember(m.name)) return m.name.GetString();
  return "";
}

}  // namespace

ConfigError flaw_at(const std::string& file, const std::string& pointer, const std::string& expected,
                    const std::string& found) {
  return ConfigError(file + ": " + (pointer.empty() ? "/" : pointer) + ": expected " + expected + ", found " +
                     found);
}

std::string shown(const rapidjson::Value& value) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  value.Accept(writer);
  std::string text(buffer.GetString(), buffer.GetSize());
  constexpr std::size_t most = 80;
  if (text.size() > most) {
    text.resize(most - 3);
    text += "...";
  }
  return text;
}

rapidjson::Document parse_object(const std::string& text, const std::string& file) {
  rapidjson::Document d;
  d.Parse<rapidjson::kParseIterativeFlag | rapidjson::kParseFullPrecisionFlag>(text.c_str(), text.size());
  if (d.HasParseError()) {
    const auto line =
        1 + std::count(text.begin(),
                       text.begin() + static_cast<std::ptrdiff_t>(std::min(d.GetErrorOffset(), text.size())),
                       '\n');
    throw flaw_at(
        file, "", "a JSON object",
        std::string(rapidjson::GetParseError_En(d.GetParseError())) + " Line " + std::to_string(line));
  }
  if (!d.IsObject()) throw flaw_at(file, "", "a JSON object", shown(d));
  return d;
}

void check_schema(const rapidjson::Document& document, const char* schema, const std::string& file) {
  rapidjson::Document rules;
  rules.Parse(schema);
  if (rules.HasParseError()) throw ConfigError("the schema itself is no JSON");
  const rapidjson::SchemaDocument compiled(rules);
  rapidjson::SchemaValidator validator(compiled);
  if (document.Accept(validator)) return;
  auto where = text_of(validator.GetInvalidDocumentPointer());
  const std::string keyword = validator.GetInvalidSchemaKeyword();
  const auto* rule = validator.GetInvalidSchemaPointer().Get(rules);
  const auto* value = validator.GetInvalidDocumentPointer().Get(document);
  if (keyword == "additionalProperties") {
    // The pointer is that of the member or of its object, by the library's version.
    auto name = value && rule ? unknown_member(*value, *rule) : "";
    if (!name.empty())
      where += "/" + name;
    else
      name = where.substr(where.rfind('/') + 1);
    throw flaw_at(file, where, "no such key", "'" + name + "'");
  }
  std::string expected = keyword;
  if (rule && rule->IsObject())
    if (const auto it = rule->FindMember(keyword.c_str()); it != rule->MemberEnd())
      expected += " " + shown(it->value);
  throw flaw_at(file, where, expected, value ? shown(*value) : "nothing");
}

}  // namespace cedarring::app
