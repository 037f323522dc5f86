#include "wire/dns.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <map>

#include "wire/statement.h"

namespace cedarring::wire::dns {
namespace {

constexpr std::size_t name_most = 255, label_most = 63;

void put16(std::string& out, std::uint32_t v) {
  out += static_cast<char>(v >> 8U & 0xffU), out += static_cast<char>(v & 0xffU);
}
void put32(std::string& out, std::uint32_t v) { put16(out, v >> 16U), put16(out, v & 0xffffU); }
std::uint32_t get16(std::string_view in, std::size_t at) {
  return static_cast<std::uint32_t>(static_cast<unsigned char>(in[at])) << 8U |
         static_cast<unsigned char>(in[at + 1]);
}
std::uint32_t get32(std::string_view in, std::size_t at) { return get16(in, at) << 16U | get16(in, at + 2); }
char small(char c) { return static_cast<char>(std::tolower(static_cast<unsigned char>(c))); }

bool in_zone(std::string_view name, std::string_view origin) {
  while (name.size() > origin.size()) name.remove_prefix(1U + static_cast<unsigned char>(name[0]));
  return name == origin;
}

// ---- messages ----

/// Reads a message; after a read past its end ok() is false and all reads give nothing.
class Cursor {
 public:
  explicit Cursor(std::string_view message) : in_(message) {}
  [[nodiscard]] bool ok() const { return ok_; }
  [[nodiscard]] std::size_t at() const { return at_; }
  std::uint32_t u16() { return have(2) ? (at_ += 2, get16(in_, at_ - 2)) : 0; }
  std::uint32_t u32() { return have(4) ? (at_ += 4, get32(in_, at_ - 4)) : 0; }
  std::string_view bytes(std::size_t n) {
    return have(n) ? (at_ += n, in_.substr(at_ - n, n)) : std::string_view();
  }
  std::string name() {
    std::string out;
    std::size_t at = at_, furthest = at_;
    bool jumped = false;
    while (ok_) {
      if (at >= in_.size()) return fail();
      const auto length = static_cast<unsigned char>(in_[at]);
      if (length >= 0xc0) {
        if (at + 2 > in_.size()) return fail();
        const auto to = get16(in_, at) & 0x3fffU;
        if (!jumped) at_ = at + 2;
        jumped = true;
        // Pointers only lead backwards: guards against loops.
        if (to >= furthest) return fail();
        at = furthest = to;
        continue;
      }
      if (length > label_most || at + 1 + length > in_.size() || out.size() + 1 + length > name_most)
        return fail();
      out += static_cast<char>(length);
      for (std::size_t i = 1; i <= length; ++i) out += small(in_[at + i]);
      at += 1U + length;
      if (length == 0) break;
    }
    if (!jumped) at_ = at;
    return out;
  }
  /// A record with its data in the kept form; of records without data, as in deletions, it stays empty.
  Record record() {
    Record r;
    r.name = name();
    r.type = static_cast<std::uint16_t>(u16());
    r.cls = static_cast<std::uint16_t>(u16());
    r.ttl = u32();
    const auto length = u16();
    if (!have(length)) return r;
    const auto end = at_ + length;
    if (length > 0) r.data = data(r.type, end);
    if (at_ != end) ok_ = false;
    return r;
  }

 private:
  std::string data(std::uint16_t type, std::size_t end) {
    std::string out;
    const auto fixed = [&](std::size_t n) { out += bytes(n); };
    switch (type) {
      case type_a:
        fixed(4);
        break;
      case type_aaaa:
        fixed(16);
        break;
      case type_ns:
      case type_cname:
      case type_ptr:
        out += name();
        break;
      case type_mx:
        fixed(2), out += name();
        break;
      case type_srv:
        fixed(6), out += name();
        break;
      case type_soa:
        out += name(), out += name(), fixed(20);
        break;
      case type_txt:
        while (ok_ && at_ < end) {
          const auto n = static_cast<unsigned char>(in_[at_]);
          fixed(1U + n);
        }
        break;
      default:
        fixed(end - at_);
    }
    return out;
  }
  bool have(std::size_t n) {
    if (in_.size() - at_ < n) ok_ = false;
    return ok_;
  }
  std::string fail() {
    ok_ = false;
    return {};
  }
  std::string_view in_;
  std::size_t at_ = 0;
  bool ok_ = true;
};

// ---- master files ----

struct Token {
  std::string text;
  bool quoted = false;
};
struct Line {
  std::vector<Token> tokens;
  bool blank_owner = false;
  int number = 0;
};

/// Cuts a master file into entries: parentheses join lines, comments go, quotes hold blanks.
bool split(std::string_view text, std::vector<Line>& lines, int& number) {
  Line line;
  Token token;
  bool open = false, in_token = false;
  int depth = 0;
  number = 1;
  line.number = 1;
  const auto end_token = [&] {
    if (in_token) line.tokens.push_back(std::move(token));
    token = {};
    in_token = false;
  };
  for (std::size_t i = 0; i <= text.size(); ++i) {
    const char c = i < text.size() ? text[i] : '\n';
    if (open) {
      if (c == '\n') return false;
      if (c == '"')
        open = false, end_token();
      else
        token.text += c;
      if (c == '\\' && i + 1 < text.size() && text[i + 1] != '\n') token.text += text[++i];
      continue;
    }
    if (c == ';') {
      while (i + 1 < text.size() && text[i + 1] != '\n') ++i;
    } else if (c == '"') {
      end_token();
      open = in_token = token.quoted = true;
    } else if (c == '(') {
      end_token(), ++depth;
    } else if (c == ')') {
      end_token();
      if (--depth < 0) return false;
    } else if (c == ' ' || c == '\t' || c == '\r' || c == '\n') {
      end_token();
      if (c != '\n' && line.tokens.empty() && depth == 0 && (i == 0 || text[i - 1] == '\n'))
        line.blank_owner = true;
      if (c != '\n') continue;
      ++number;
      if (depth > 0 && i < text.size()) continue;
      if (depth > 0) return number = line.number, false;  // where it was opened
      if (!line.tokens.empty()) lines.push_back(std::move(line));
      line = {};
      line.number = number;
    } else {
      in_token = true;
      token.text += c;
      if (c == '\\' && i + 1 < text.size() && text[i + 1] != '\n') token.text += text[++i];
    }
  }
  return true;
}

/// Undoes \X and \DDD; false for a number over 255.
bool unescape(std::string_view text, std::string& out) {
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '\\') {
      out += text[i];
      continue;
    }
    const auto digits = text.substr(i + 1, 3);
    if (const auto n = to_int(digits); n && digits.size() == 3) {
      if (*n > 255) return false;
      out += static_cast<char>(*n);
      i += 3;
    } else if (++i < text.size()) {
      out += text[i];
    }
  }
  return true;
}

std::optional<std::uint16_t> type_from_text(std::string_view text) {
  static constexpr std::array<std::pair<std::string_view, Type>, 9> types{{{"A", type_a},
                                                                           {"NS", type_ns},
                                                                           {"CNAME", type_cname},
                                                                           {"SOA", type_soa},
                                                                           {"PTR", type_ptr},
                                                                           {"MX", type_mx},
                                                                           {"TXT", type_txt},
                                                                           {"AAAA", type_aaaa},
                                                                           {"SRV", type_srv}}};
  std::string capitals;
  for (const char c : text) capitals += static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
  for (const auto& [name, type] : types)
    if (capitals == name) return type;
  return std::nullopt;
}

bool put_number(std::string& out, const std::string& text, std::int64_t most) {
  const auto n = to_int(text);
  if (!n || *n > most) return false;
  if (most > 0xffff)
    put32(out, static_cast<std::uint32_t>(*n));
  else
    put16(out, static_cast<std::uint32_t>(*n));
  return true;
}

bool data_from_text(std::uint16_t type, const std::vector<Token>& t, std::size_t at, std::string_view origin,
                    std::string& out) {
  const auto count = t.size() - at;
  const auto name = [&](std::size_t i) {
    const auto n = name_from_text(t[at + i].text, origin);
    if (n) out += *n;
    return n.has_value();
  };
  const auto number = [&](std::size_t i, std::int64_t most) { return put_number(out, t[at + i].text, most); };
  switch (type) {
    case type_a:
    case type_aaaa: {
      unsigned char raw[16];
      if (count != 1 || inet_pton(type == type_a ? AF_INET : AF_INET6, t[at].text.c_str(), raw) != 1)
        return false;
      out.assign(reinterpret_cast<const char*>(raw), type == type_a ? 4 : 16);
      return true;
    }
    case type_ns:
    case type_cname:
    case type_ptr:
      return count == 1 && name(0);
    case type_mx:
      return count == 2 && number(0, 0xffff) && name(1);
    case type_srv:
      return count == 4 && number(0, 0xffff) && number(1, 0xffff) && number(2, 0xffff) && name(3);
    case type_soa:
      if (count != 7 || !name(0) || !name(1)) return false;
      for (std::size_t i = 2; i < 7; ++i)
        if (!number(i, 0xffffffff)) return false;
      return true;
    case type_txt:
      for (std::size_t i = 0; i < count; ++i) {
        std::string text;
        if (!unescape(t[at + i].text, text) || text.size() > 255) return false;
        out += static_cast<char>(text.size());
        out += text;
      }
      return count > 0;
    default:
      return false;
  }
}

// ---- updates ----

struct Update {
  std::vector<Record> prerequisites, changes;
};

bool has(const Zone& zone, const std::string& name, std::uint16_t type) {
  return std::any_of(
      zone.records.begin(), zone.records.end(),
      [&](const Record& r) { return r.name == name && (type == type_any || r.type == type); });
}

/// The data of one set of records, in order.
std::vector<std::string> data_of(const std::vector<Record>& records, const Record& like) {
  std::vector<std::string> all;
  for (const auto& r : records)
    if (r.name == like.name && r.type == like.type) all.push_back(r.data);
  std::sort(all.begin(), all.end());
  return all;
}

/// RFC 2136, 3.2.
Rcode check_prerequisites(const Zone& zone, const std::vector<Record>& all) {
  std::vector<Record> exact;
  for (const auto& r : all) {
    if (r.ttl != 0) return Rcode::form_error;
    if (!in_zone(r.name, zone.origin)) return Rcode::not_zone;
    if (r.cls == class_in) {
      exact.push_back(r);
      continue;
    }
    if ((r.cls != class_any && r.cls != class_none) || !r.data.empty()) return Rcode::form_error;
    const bool found = has(zone, r.name, r.type);
    if (r.cls == class_any && !found) return r.type == type_any ? Rcode::nx_domain : Rcode::nx_rrset;
    if (r.cls == class_none && found) return r.type == type_any ? Rcode::yx_domain : Rcode::yx_rrset;
  }
  for (const auto& r : exact)
    if (data_of(exact, r) != data_of(zone.records, r)) return Rcode::nx_rrset;
  return Rcode::ok;
}

/// RFC 2136, 3.4.1: all is looked at before anything is changed.
Rcode check_changes(const Zone& zone, const std::vector<Record>& all) {
  for (const auto& r : all) {
    if (!in_zone(r.name, zone.origin)) return Rcode::not_zone;
    const bool meta = r.type == 0 || (r.type >= 249 && r.type <= 254) || r.type == 41;
    if (meta || (r.type == type_any && r.cls != class_any)) return Rcode::form_error;
    if (r.cls == class_in ? r.data.empty() : r.ttl != 0) return Rcode::form_error;
    if (r.cls == class_any && !r.data.empty()) return Rcode::form_error;
    if (r.cls != class_in && r.cls != class_any && r.cls != class_none) return Rcode::form_error;
  }
  return Rcode::ok;
}

std::uint32_t serial_of(const Record& soa) { return get32(soa.data, soa.data.size() - 20); }

template <class Which>
bool remove_if(Zone& zone, Which which) {
  const auto before = zone.records.size();
  zone.records.erase(std::remove_if(zone.records.begin(), zone.records.end(), which), zone.records.end());
  return zone.records.size() != before;
}

/// RFC 2136, 3.4.2.2: one record added.
bool add(Zone& zone, const Record& r) {
  // A CNAME stands alone at its name.
  const bool cname = has(zone, r.name, type_cname);
  if (r.type == type_cname ? !cname && has(zone, r.name, type_any) : cname) return false;
  for (auto& old : zone.records) {
    if (old.name != r.name || old.type != r.type) continue;
    if (r.type == type_soa) {
      // Serials are compared around the circle (RFC 1982).
      if (static_cast<std::int32_t>(serial_of(r) - serial_of(old)) <= 0) return false;
    } else if (r.type != type_cname && old.data != r.data) {
      continue;
    }
    const bool other = old.data != r.data || old.ttl != r.ttl;
    old = r;
    return other;
  }
  if (r.type == type_soa) return false;
  zone.records.push_back(r);
  return true;
}

bool apply(Zone& zone, const Record& r) {
  if (r.cls == class_in) return add(zone, r);
  const bool apex = r.name == zone.origin;
  if (r.cls == class_any)
    return remove_if(zone, [&](const Record& old) {
      if (old.name != r.name || (r.type != type_any && old.type != r.type)) return false;
      return !(apex && (old.type == type_soa || old.type == type_ns));  // a zone without them is none
    });
  if (r.type == type_soa) return false;
  if (apex && r.type == type_ns && data_of(zone.records, r).size() < 2) return false;
  return remove_if(zone, [&](const Record& old) {
    return old.name == r.name && old.type == r.type && old.data == r.data;
  });
}

Rcode carry_out(Zone& zone, const Update& update, bool& changed) {
  auto rcode = check_prerequisites(zone, update.prerequisites);
  if (rcode == Rcode::ok) rcode = check_changes(zone, update.changes);
  if (rcode != Rcode::ok) return rcode;
  const auto soa = [&] {
    return std::find_if(zone.records.begin(), zone.records.end(),
                        [](const Record& r) { return r.type == type_soa; });
  };
  const auto serial = serial_of(*soa());
  for (const auto& r : update.changes) changed = apply(zone, r) || changed;
  // Who changes a zone without a new serial gets one.
  if (auto it = soa(); changed && serial_of(*it) == serial) {
    std::string next;
    put32(next, serial + 1 == 0 ? 1 : serial + 1);
    it->data.replace(it->data.size() - 20, 4, next);
  }
  return Rcode::ok;
}

Rcode handle(std::string_view message, Zone& zone, bool& changed) {
  Cursor in(message);
  in.u16();
  const auto flags = in.u16();
  const auto zones = in.u16(), prerequisites = in.u16(), changes = in.u16();
  in.u16();
  if ((flags >> 11U & 0xfU) != 5) return Rcode::not_implemented;
  if (zones != 1) return Rcode::form_error;
  const auto origin = in.name();
  const auto type = in.u16(), cls = in.u16();
  if (!in.ok() || type != type_soa) return Rcode::form_error;
  if (origin != zone.origin || cls != class_in) return Rcode::not_auth;
  Update update;
  for (std::uint32_t i = 0; i < prerequisites && in.ok(); ++i) update.prerequisites.push_back(in.record());
  for (std::uint32_t i = 0; i < changes && in.ok(); ++i) update.changes.push_back(in.record());
  if (!in.ok()) return Rcode::form_error;
  return carry_out(zone, update, changed);
}

std::map<std::string, std::string> attributes_of(const Zone& zone, const std::string& name) {
  std::map<std::string, std::string> all;
  for (const auto& r : zone.records) {
    if (r.name != name || r.type != type_txt) continue;
    for (std::size_t at = 0; at < r.data.size(); at += 1U + static_cast<unsigned char>(r.data[at])) {
      const auto text = r.data.substr(at + 1, static_cast<unsigned char>(r.data[at]));
      if (const auto eq = text.find('='); eq != std::string::npos)
        all[text.substr(0, eq)] = text.substr(eq + 1);
    }
  }
  return all;
}

}  // namespace

std::optional<std::string> name_from_text(std::string_view text, std::string_view origin) {
  if (text == "@") return std::string(origin);
  if (text == ".") return std::string(1, '\0');
  std::string out, label;
  const auto end_label = [&] {
    if (label.empty() || label.size() > label_most) return false;
    out += static_cast<char>(label.size());
    out += label;
    label.clear();
    return true;
  };
  bool absolute = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '.') {
      if (!end_label()) return std::nullopt;
      absolute = i + 1 == text.size();
    } else if (text[i] == '\\') {
      const auto digits = text.substr(i + 1, 3);
      const auto length = digits.size() == 3 && to_int(digits) ? 3U : 1U;
      std::string raw;
      if (i + length >= text.size() || !unescape(text.substr(i, length + 1), raw)) return std::nullopt;
      for (const char c : raw) label += small(c);
      i += length;
    } else {
      label += small(text[i]);
    }
  }
  if (!absolute && !end_label()) return std::nullopt;
  if (absolute)
    out += '\0';
  else
    out += origin;
  if (out.size() > name_most || out.back() != '\0') return std::nullopt;
  return out;
}

std::string name_to_text(std::string_view name) {
  std::string out;
  while (!name.empty() && name[0] != '\0') {
    const auto length = static_cast<unsigned char>(name[0]);
    out += name.substr(1, length);
    out += '.';
    name.remove_prefix(1U + length);
  }
  return out.empty() ? "." : out;
}

bool parse_zone(std::string_view text, std::string_view origin_text, Zone& zone, std::string& error) {
  zone = {};
  const auto start = name_from_text(origin_text, std::string_view("\0", 1));
  if (!start) return error = "origin", false;
  zone.origin = *start;
  std::string origin = *start, owner;
  std::optional<std::uint32_t> default_ttl;
  std::uint32_t last_ttl = 0;
  std::vector<Line> lines;
  int number = 0;
  const auto fail = [&](int line) { return error = "line " + std::to_string(line), false; };
  if (!split(text, lines, number)) return fail(number);
  for (const auto& line : lines) {
    const auto& t = line.tokens;
    if (t[0].text == "$ORIGIN" || t[0].text == "$TTL") {
      if (t.size() != 2) return fail(line.number);
      const auto name = name_from_text(t[1].text, origin);
      const auto ttl = to_int(t[1].text);
      if (t[0].text == "$ORIGIN" ? !name : !ttl || *ttl > 0x7fffffff) return fail(line.number);
      if (t[0].text == "$ORIGIN")
        origin = *name;
      else
        default_ttl = static_cast<std::uint32_t>(*ttl);
      continue;
    }
    std::size_t at = 0;
    if (!line.blank_owner) {
      const auto name = name_from_text(t[at++].text, origin);
      if (!name) return fail(line.number);
      owner = *name;
    }
    if (owner.empty() || !in_zone(owner, zone.origin)) return fail(line.number);
    Record r;
    r.name = owner;
    r.ttl = default_ttl.value_or(last_ttl);
    for (; at < t.size(); ++at)  // TTL and class, in either order
      if (const auto ttl = to_int(t[at].text); ttl && *ttl <= 0x7fffffff)
        r.ttl = last_ttl = static_cast<std::uint32_t>(*ttl);
      else if (t[at].text != "IN" && t[at].text != "in")
        break;
    const auto type = at < t.size() ? type_from_text(t[at].text) : std::nullopt;
    if (!type || !data_from_text(r.type = *type, t, at + 1, origin, r.data)) return fail(line.number);
    if (r.type == type_soa && (r.name != zone.origin || has(zone, r.name, type_soa)))
      return fail(line.number);
    zone.records.push_back(std::move(r));
  }
  if (!has(zone, zone.origin, type_soa)) return error = "no SOA record", false;
  return true;
}

std::string answer_update(std::string_view message, Zone& zone, bool& changed) {
  changed = false;
  // What is too short to have an id, or is an answer itself, is not answered: guards against echoes for ever.
  if (message.size() < 12 || (static_cast<unsigned char>(message[2]) & 0x80U) != 0) return {};
  const auto rcode = handle(message, zone, changed);
  std::string out(message.substr(0, 2));
  out += static_cast<char>(0x80U | (static_cast<unsigned char>(message[2]) & 0x78U));
  out += static_cast<char>(rcode);
  out.append(8, '\0');
  return out;
}

broker::MemberList members_of(const Zone& zone, std::uint64_t version) {
  broker::MemberList list;
  list.version = version;
  list.full = true;
  constexpr std::string_view service("\6_mysql\4_tcp", 12);
  for (const auto& r : zone.records) {
    if (r.type != type_srv || r.name.compare(0, service.size(), service) != 0) continue;
    const auto rest = std::string_view(r.name).substr(service.size());
    const auto length = static_cast<unsigned char>(rest[0]);
    const auto group = length > 1 && rest[1] == 'g' ? to_int(rest.substr(2, length - 1U)) : std::nullopt;
    if (!group || rest.substr(1U + length) != zone.origin) continue;
    const auto target = r.data.substr(6);
    const auto address = std::find_if(zone.records.begin(), zone.records.end(),
                                      [&](const Record& a) { return a.type == type_a && a.name == target; });
    if (address == zone.records.end()) continue;
    char text[INET_ADDRSTRLEN] = "";
    inet_ntop(AF_INET, address->data.data(), text, sizeof text);
    auto attributes = attributes_of(zone, target);
    broker::Member m;
    const auto port = std::to_string(get16(r.data, 4));
    m.id = name_to_text(target) + ":" + port;
    m.address = std::string(text) + ":" + port;
    m.zone = attributes["zone"];
    m.group = GroupId{*group};
    m.primary = get16(r.data, 0) == 0;
    m.weight = std::max<double>(1, get16(r.data, 2));
    if (attributes["state"] == "draining") m.state = HostState::draining;
    if (const auto at = to_int(attributes["started_ms"]); at && *at > 0 && *at < 10'000'000'000'000)
      m.started_at = std::chrono::milliseconds(*at);
    list.members.push_back(std::move(m));
  }
  return list;
}

}  // namespace cedarring::wire::dns
