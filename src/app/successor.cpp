#include "app/successor.h"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include "wire/discovery.h"

namespace cedarring::app {
namespace {

using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

void put(Writer& w, const char* key, const std::string& text) {
  w.Key(key), w.String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
}

std::optional<std::string> text_in(const rapidjson::Value& v, const char* key) {
  const auto it = v.IsObject() ? v.FindMember(key) : rapidjson::Value::ConstMemberIterator();
  if (!v.IsObject() || it == v.MemberEnd() || !it->value.IsString()) return std::nullopt;
  return std::string(it->value.GetString(), it->value.GetStringLength());
}

}  // namespace

Role role_of(const std::string& word) {
  return word == "primary" ? Role::primary : word == "replica" ? Role::replica : Role::unknown;
}

const char* word_of(Role role) {
  return role == Role::primary ? "primary" : role == Role::replica ? "replica" : "unknown";
}

ServiceState state_of(const std::string& front, const broker::HostTable& hosts) {
  ServiceState s;
  s.front = front;
  s.list = hosts.list();
  s.out.assign(hosts.disabled().begin(), hosts.disabled().end());
  for (const auto& m : s.list.members)
    if (const auto* h = hosts.observed(m.id); h && (h->position || h->role != Role::unknown))
      s.heard.push_back({m.id, h->role, h->position});
  return s;
}

std::string to_text(const std::vector<ServiceState>& services) {
  rapidjson::StringBuffer buffer;
  Writer w(buffer);
  w.StartArray();
  for (const auto& s : services) {
    w.StartObject();
    put(w, "front", s.front);
    put(w, "list", wire::members_json(s.list));
    w.Key("out"), w.StartArray();
    for (const auto& id : s.out) w.String(id.data(), static_cast<rapidjson::SizeType>(id.size()));
    w.EndArray();
    w.Key("heard"), w.StartArray();
    for (const auto& h : s.heard) {
      w.StartObject();
      put(w, "host", h.host);
      put(w, "role", word_of(h.role));
      if (h.position) w.Key("position_us"), w.Int64(h.position->count());
      w.EndObject();
    }
    w.EndArray();
    w.Key("parts"), w.StartObject();
    for (const auto& [name, text] : s.parts) put(w, name.c_str(), text);
    w.EndObject();
    w.EndObject();
  }
  w.EndArray();
  return buffer.GetString();
}

std::optional<std::vector<ServiceState>> services_of(const std::string& text) {
  rapidjson::Document d;
  d.Parse<rapidjson::kParseIterativeFlag>(text.data(), text.size());
  if (d.HasParseError() || !d.IsArray()) return std::nullopt;
  std::vector<ServiceState> all;
  for (const auto& v : d.GetArray()) {
    const auto front = text_in(v, "front"), members = text_in(v, "list");
    const auto list = members ? wire::parse_members(*members) : std::nullopt;
    if (!front || !list || !v.HasMember("out") || !v["out"].IsArray() || !v.HasMember("heard") ||
        !v["heard"].IsArray())
      return std::nullopt;
    ServiceState s;
    s.front = *front;
    s.list = *list;
    for (const auto& id : v["out"].GetArray()) {
      if (!id.IsString()) return std::nullopt;
      s.out.emplace_back(id.GetString(), id.GetStringLength());
    }
    for (const auto& h : v["heard"].GetArray()) {
      const auto host = text_in(h, "host"), role = text_in(h, "role");
      if (!host || !role) return std::nullopt;
      ServiceState::Heard heard{*host, role_of(*role), std::nullopt};
      if (const auto it = h.FindMember("position_us"); it != h.MemberEnd()) {
        if (!it->value.IsInt64()) return std::nullopt;
        heard.position = Time(it->value.GetInt64());
      }
      s.heard.push_back(std::move(heard));
    }
    if (const auto parts = v.FindMember("parts"); parts != v.MemberEnd() && parts->value.IsObject())
      for (const auto& p : parts->value.GetObject())
        if (p.value.IsString())
          s.parts[p.name.GetString()] = {p.value.GetString(), p.value.GetStringLength()};
    all.push_back(std::move(s));
  }
  return all;
}

}  // namespace cedarring::app
