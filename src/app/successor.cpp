#include "app/successor.h"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include "wire/discovery.h"

namespace cedarring::app {
namespace {

using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

void write_text(Writer& writer, const char* key, const std::string& text) {
  writer.Key(key);
  writer.String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
}

/// The string member of that key; nothing if `value` has none.
std::optional<std::string> string_member(const rapidjson::Value& value, const char* key) {
  const auto it = value.IsObject() ? value.FindMember(key) : rapidjson::Value::ConstMemberIterator();
  if (!value.IsObject() || it == value.MemberEnd() || !it->value.IsString()) return std::nullopt;
  return std::string(it->value.GetString(), it->value.GetStringLength());
}

}  // namespace

Role parse_role(const std::string& word) {
  return word == "primary" ? Role::primary : word == "replica" ? Role::replica : Role::unknown;
}

const char* role_name(Role role) {
  return role == Role::primary ? "primary" : role == Role::replica ? "replica" : "unknown";
}

ServiceState capture_state(const std::string& front, const broker::HostTable& hosts) {
  ServiceState service;
  service.front = front;
  service.list = hosts.list();
  service.disabled_hosts.assign(hosts.disabled().begin(), hosts.disabled().end());
  for (const auto& member : service.list.members)
    if (const auto* observed = hosts.observed(member.id);
        observed && (observed->position || observed->role != Role::unknown))
      service.observed_hosts.push_back({member.id, observed->role, observed->position});
  return service;
}

std::string to_json(const std::vector<ServiceState>& services) {
  rapidjson::StringBuffer buffer;
  Writer writer(buffer);
  writer.StartArray();
  for (const auto& service : services) {
    writer.StartObject();
    write_text(writer, "front", service.front);
    write_text(writer, "list", wire::members_json(service.list));
    writer.Key("out");
    writer.StartArray();
    for (const auto& id : service.disabled_hosts)
      writer.String(id.data(), static_cast<rapidjson::SizeType>(id.size()));
    writer.EndArray();
    writer.Key("heard");
    writer.StartArray();
    for (const auto& observed : service.observed_hosts) {
      writer.StartObject();
      write_text(writer, "host", observed.host);
      write_text(writer, "role", role_name(observed.role));
      if (observed.position) {
        writer.Key("position_us");
        writer.Int64(observed.position->count());
      }
      writer.EndObject();
    }
    writer.EndArray();
    writer.Key("parts");
    writer.StartObject();
    for (const auto& [name, text] : service.sections) write_text(writer, name.c_str(), text);
    writer.EndObject();
    writer.EndObject();
  }
  writer.EndArray();
  return buffer.GetString();
}

std::optional<std::vector<ServiceState>> parse_services(const std::string& text) {
  rapidjson::Document document;
  document.Parse<rapidjson::kParseIterativeFlag>(text.data(), text.size());
  if (document.HasParseError() || !document.IsArray()) return std::nullopt;
  std::vector<ServiceState> services;
  for (const auto& value : document.GetArray()) {
    const auto front = string_member(value, "front");
    const auto members = string_member(value, "list");
    const auto list = members ? wire::parse_members(*members) : std::nullopt;
    if (!front || !list || !value.HasMember("out") || !value["out"].IsArray() || !value.HasMember("heard") ||
        !value["heard"].IsArray())
      return std::nullopt;
    ServiceState service;
    service.front = *front;
    service.list = *list;
    for (const auto& id : value["out"].GetArray()) {
      if (!id.IsString()) return std::nullopt;
      service.disabled_hosts.emplace_back(id.GetString(), id.GetStringLength());
    }
    for (const auto& entry : value["heard"].GetArray()) {
      const auto host = string_member(entry, "host");
      const auto role = string_member(entry, "role");
      if (!host || !role) return std::nullopt;
      ServiceState::ObservedHost observed{*host, parse_role(*role), std::nullopt};
      if (const auto it = entry.FindMember("position_us"); it != entry.MemberEnd()) {
        if (!it->value.IsInt64()) return std::nullopt;
        observed.position = Time(it->value.GetInt64());
      }
      service.observed_hosts.push_back(std::move(observed));
    }
    if (const auto sections = value.FindMember("parts");
        sections != value.MemberEnd() && sections->value.IsObject())
      for (const auto& section : sections->value.GetObject())
        if (section.value.IsString())
          service.sections[section.name.GetString()] = {section.value.GetString(),
                                                        section.value.GetStringLength()};
    services.push_back(std::move(service));
  }
  return services;
}

}  // namespace cedarring::app
