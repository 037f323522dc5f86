#include "wire/dns.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <map>

#include "wire/statement.h"

namespace cedarring::wire::dns {
namespace {

// Sizes in bytes.
constexpr std::size_t max_name_size = 255;
constexpr std::size_t max_label_size = 63;
constexpr std::size_t max_text_size = 255;  // of one string of a TXT record
constexpr std::size_t message_header_size = 12;
constexpr std::size_t message_id_size = 2;  // at the start of the header
constexpr std::size_t ipv4_size = 4;
constexpr std::size_t ipv6_size = 16;
constexpr std::size_t mx_preference_size = 2;  // the start of MX data
constexpr std::size_t soa_numbers_size = 20;   // serial, refresh, retry, expire, minimum: the end of SOA data
constexpr std::size_t serial_size = 4;
constexpr std::size_t srv_numbers_size = 6;  // priority, weight, port: the start of SRV data
constexpr std::size_t srv_priority_offset = 0;
constexpr std::size_t srv_weight_offset = 2;
constexpr std::size_t srv_port_offset = 4;

constexpr unsigned char pointer_mark = 0xc0;    // the top bits of a compression pointer
constexpr std::uint32_t pointer_mask = 0x3fff;  // its offset into the message
constexpr unsigned opcode_update = 5;
constexpr unsigned opcode_shift = 11;          // of the opcode in the flags of the header, a 16-bit field
constexpr std::uint32_t max_opcode = 0xf;      // the four bits of an opcode
constexpr std::size_t flags_offset = 2;        // of the first byte of the flags in a message
constexpr unsigned char response_flag = 0x80;  // in this byte
constexpr unsigned char opcode_mask = 0x78;    // in this byte
constexpr std::int64_t max_ttl = 0x7fffffff;   // seconds
constexpr std::int64_t max_u16 = 0xffff;
constexpr std::int64_t max_u32 = 0xffffffff;
constexpr std::uint16_t first_meta_type = 249;
constexpr std::uint16_t last_meta_type = 254;
// Start times from late 2286 on are taken for invalid; the bound keeps sums with durations, in
// microseconds, within 64 bits.
constexpr std::int64_t started_limit_ms = 10'000'000'000'000;

// Numbers of 16 and 32 bits in network byte order.

void put16(std::string& out, std::uint32_t value) {
  out += static_cast<char>(value >> 8U & 0xffU);
  out += static_cast<char>(value & 0xffU);
}
void put32(std::string& out, std::uint32_t value) {
  put16(out, value >> 16U);
  put16(out, value & 0xffffU);
}
std::uint32_t get16(std::string_view in, std::size_t at) {
  return static_cast<std::uint32_t>(static_cast<unsigned char>(in[at])) << 8U |
         static_cast<unsigned char>(in[at + 1]);
}
std::uint32_t get32(std::string_view in, std::size_t at) { return get16(in, at) << 16U | get16(in, at + 2); }
char to_lower(char c) { return static_cast<char>(std::tolower(static_cast<unsigned char>(c))); }

/// Whether `name` is `origin` or below it; both are given as on the wire.
bool in_zone(std::string_view name, std::string_view origin) {
  while (name.size() > origin.size()) name.remove_prefix(1U + static_cast<unsigned char>(name[0]));
  return name == origin;
}

// ---- messages ----

/// Reads a message. After a read past its end or an invalid name ok() is false and all reads return zero or
/// empty values.
class MessageReader {
 public:
  explicit MessageReader(std::string_view message) : in_(message) {}
  [[nodiscard]] bool ok() const { return ok_; }
  [[nodiscard]] std::size_t at() const { return at_; }
  std::uint32_t u16() {
    if (!available(2)) return 0;
    at_ += 2;
    return get16(in_, at_ - 2);
  }
  std::uint32_t u32() {
    if (!available(4)) return 0;
    at_ += 4;
    return get32(in_, at_ - 4);
  }
  std::string_view bytes(std::size_t count) {
    if (!available(count)) return {};
    at_ += count;
    return in_.substr(at_ - count, count);
  }
  /// A name, uncompressed and in lower case.
  std::string name() {
    std::string out;
    std::size_t label_at = at_;
    std::size_t lowest_target = at_;
    bool pointer_followed = false;  // at_ is behind the name already
    while (ok_) {
      if (label_at >= in_.size()) return fail();
      const auto length = static_cast<unsigned char>(in_[label_at]);
      if (length >= pointer_mark) {
        if (label_at + 2 > in_.size()) return fail();
        const auto target = get16(in_, label_at) & pointer_mask;
        if (!pointer_followed) at_ = label_at + 2;
        pointer_followed = true;
        // Each pointer has to lead further back than all before it: rejects loops.
        if (target >= lowest_target) return fail();
        label_at = target;
        lowest_target = target;
        continue;
      }
      if (length > max_label_size || label_at + 1 + length > in_.size() ||
          out.size() + 1 + length > max_name_size)
        return fail();
      out += static_cast<char>(length);
      for (std::size_t i = 1; i <= length; ++i) out += to_lower(in_[label_at + i]);
      label_at += 1U + length;
      if (length == 0) break;
    }
    if (!pointer_followed) at_ = label_at;
    return out;
  }
  /// A record, with the names in its data uncompressed. The data of a deletion or a prerequisite may be
  /// empty.
  Record record() {
    Record record;
    record.name = name();
    record.type = static_cast<std::uint16_t>(u16());
    record.class_code = static_cast<std::uint16_t>(u16());
    record.ttl = u32();
    const auto length = u16();
    if (!available(length)) return record;
    const auto end = at_ + length;
    if (length > 0) record.data = data(record.type, end);
    if (at_ != end) ok_ = false;
    return record;
  }

 private:
  /// The data of a record up to `end`, with the names in it uncompressed.
  std::string data(std::uint16_t type, std::size_t end) {
    std::string out;
    const auto copy = [&](std::size_t count) { out += bytes(count); };
    switch (type) {
      case type_a:
        copy(ipv4_size);
        break;
      case type_aaaa:
        copy(ipv6_size);
        break;
      case type_ns:
      case type_cname:
      case type_ptr:
        out += name();
        break;
      case type_mx:
        copy(mx_preference_size);
        out += name();
        break;
      case type_srv:
        copy(srv_numbers_size);
        out += name();
        break;
      case type_soa:
        out += name();
        out += name();
        copy(soa_numbers_size);
        break;
      case type_txt:
        while (ok_ && at_ < end) {
          const auto length = static_cast<unsigned char>(in_[at_]);
          copy(1U + length);
        }
        break;
      default:
        copy(end - at_);
    }
    return out;
  }
  /// Whether `count` more bytes can be read; if not, ok() is false from now on.
  bool available(std::size_t count) {
    if (in_.size() - at_ < count) ok_ = false;
    return ok_;
  }
  std::string fail() {
    ok_ = false;
    return {};
  }
  std::string_view in_;
  std::size_t at_ = 0;  // offset of the next byte to read
  bool ok_ = true;
};

// ---- master files ----

/// A word of a master file, or a quoted string.
struct Token {
  std::string text;  // without the quotes; escapes are kept
  bool quoted = false;
};
/// A record or directive of a master file.
struct Entry {
  std::vector<Token> tokens;
  bool blank_owner = false;  // begins with white space: the owner is that of the entry before
  int line = 0;              // where it begins, from 1
};

/// Splits a master file into entries: parentheses join lines, comments are dropped, quoted tokens may hold
/// white space. Returns false if a quote or parenthesis is unbalanced, with `line` set to the line at fault.
bool split_entries(std::string_view text, std::vector<Entry>& entries, int& line) {
  Entry entry;
  Token token;
  bool in_quotes = false;
  bool in_token = false;
  int depth = 0;  // of parentheses
  line = 1;
  entry.line = 1;
  const auto end_token = [&] {
    if (in_token) entry.tokens.push_back(std::move(token));
    token = {};
    in_token = false;
  };
  for (std::size_t i = 0; i <= text.size(); ++i) {
    const char c = i < text.size() ? text[i] : '\n';
    if (in_quotes) {
      if (c == '\n') return false;
      if (c == '"') {
        in_quotes = false;
        end_token();
      } else {
        token.text += c;
      }
      if (c == '\\' && i + 1 < text.size() && text[i + 1] != '\n') token.text += text[++i];
      continue;
    }
    if (c == ';') {
      while (i + 1 < text.size() && text[i + 1] != '\n') ++i;
    } else if (c == '"') {
      end_token();
      in_quotes = true;
      in_token = true;
      token.quoted = true;
    } else if (c == '(') {
      end_token();
      ++depth;
    } else if (c == ')') {
      end_token();
      if (--depth < 0) return false;
    } else if (c == ' ' || c == '\t' || c == '\r' || c == '\n') {
      end_token();
      if (c != '\n' && entry.tokens.empty() && depth == 0 && (i == 0 || text[i - 1] == '\n'))
        entry.blank_owner = true;
      if (c != '\n') continue;
      ++line;
      if (depth > 0 && i < text.size()) continue;
      if (depth > 0) {
        line = entry.line;  // where the parenthesis was opened
        return false;
      }
      if (!entry.tokens.empty()) entries.push_back(std::move(entry));
      entry = {};
      entry.line = line;
    } else {
      in_token = true;
      token.text += c;
      if (c == '\\' && i + 1 < text.size() && text[i + 1] != '\n') token.text += text[++i];
    }
  }
  return true;
}

/// Replaces the escapes \X and \DDD; false for a number over 255.
bool unescape(std::string_view text, std::string& out) {
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '\\') {
      out += text[i];
      continue;
    }
    const auto digits = text.substr(i + 1, 3);
    if (const auto code = to_int(digits); code && digits.size() == 3) {
      if (*code > 255) return false;
      out += static_cast<char>(*code);
      i += 3;
    } else if (++i < text.size()) {
      out += text[i];
    }
  }
  return true;
}

/// The record type of that name, in any case; nothing if master files may not hold this type.
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
  std::string upper;
  for (const char c : text) upper += static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
  for (const auto& [name, type] : types)
    if (upper == name) return type;
  return std::nullopt;
}

/// Appends a number of at most `max`, in two bytes or, if `max` needs them, in four; false if it is invalid.
bool put_number(std::string& out, const std::string& text, std::int64_t max) {
  const auto number = to_int(text);
  if (!number || *number > max) return false;
  if (max > max_u16)
    put32(out, static_cast<std::uint32_t>(*number));
  else
    put16(out, static_cast<std::uint32_t>(*number));
  return true;
}

/// Parses the data of a record from the tokens from `first` on and appends it to `out`; false if it is
/// invalid.
bool data_from_text(std::uint16_t type, const std::vector<Token>& tokens, std::size_t first,
                    std::string_view origin, std::string& out) {
  const auto count = tokens.size() - first;
  const auto name = [&](std::size_t i) {
    const auto parsed = name_from_text(tokens[first + i].text, origin);
    if (parsed) out += *parsed;
    return parsed.has_value();
  };
  const auto number = [&](std::size_t i, std::int64_t max) {
    return put_number(out, tokens[first + i].text, max);
  };
  switch (type) {
    case type_a:
    case type_aaaa: {
      unsigned char address[ipv6_size];
      if (count != 1 ||
          inet_pton(type == type_a ? AF_INET : AF_INET6, tokens[first].text.c_str(), address) != 1)
        return false;
      out.assign(reinterpret_cast<const char*>(address), type == type_a ? ipv4_size : ipv6_size);
      return true;
    }
    case type_ns:
    case type_cname:
    case type_ptr:
      return count == 1 && name(0);
    case type_mx:
      return count == 2 && number(0, max_u16) && name(1);
    case type_srv:
      return count == 4 && number(0, max_u16) && number(1, max_u16) && number(2, max_u16) && name(3);
    case type_soa:
      // Two names and five numbers.
      if (count != 7 || !name(0) || !name(1)) return false;
      for (std::size_t i = 2; i < 7; ++i)
        if (!number(i, max_u32)) return false;
      return true;
    case type_txt:
      for (std::size_t i = 0; i < count; ++i) {
        std::string text;
        if (!unescape(tokens[first + i].text, text) || text.size() > max_text_size) return false;
        out += static_cast<char>(text.size());
        out += text;
      }
      return count > 0;
    default:
      return false;
  }
}

// ---- updates ----

/// The sections of an update message. The class of a record tells which condition or change it stands for.
struct Update {
  std::vector<Record> prerequisites;
  std::vector<Record> changes;
};

/// Whether the zone has a record of that name and type; type_any stands for every type.
bool has_record(const Zone& zone, const std::string& name, std::uint16_t type) {
  return std::any_of(
      zone.records.begin(), zone.records.end(),
      [&](const Record& record) { return record.name == name && (type == type_any || record.type == type); });
}

/// The data of the record set with the name and type of `key`, sorted.
std::vector<std::string> sorted_data(const std::vector<Record>& records, const Record& key) {
  std::vector<std::string> data;
  for (const auto& record : records)
    if (record.name == key.name && record.type == key.type) data.push_back(record.data);
  std::sort(data.begin(), data.end());
  return data;
}

/// Checks the prerequisites of an update (RFC 2136, 3.2).
Rcode check_prerequisites(const Zone& zone, const std::vector<Record>& prerequisites) {
  std::vector<Record> exact_sets;  // record sets that the zone must have exactly as given
  for (const auto& prerequisite : prerequisites) {
    if (prerequisite.ttl != 0) return Rcode::form_error;
    if (!in_zone(prerequisite.name, zone.origin)) return Rcode::not_zone;
    if (prerequisite.class_code == class_in) {
      exact_sets.push_back(prerequisite);
      continue;
    }
    if ((prerequisite.class_code != class_any && prerequisite.class_code != class_none) ||
        !prerequisite.data.empty())
      return Rcode::form_error;
    const bool found = has_record(zone, prerequisite.name, prerequisite.type);
    if (prerequisite.class_code == class_any && !found)
      return prerequisite.type == type_any ? Rcode::nx_domain : Rcode::nx_rrset;
    if (prerequisite.class_code == class_none && found)
      return prerequisite.type == type_any ? Rcode::yx_domain : Rcode::yx_rrset;
  }
  for (const auto& prerequisite : exact_sets)
    if (sorted_data(exact_sets, prerequisite) != sorted_data(zone.records, prerequisite))
      return Rcode::nx_rrset;
  return Rcode::ok;
}

/// Checks all changes of an update before the first is applied (RFC 2136, 3.4.1).
Rcode check_changes(const Zone& zone, const std::vector<Record>& changes) {
  for (const auto& change : changes) {
    if (!in_zone(change.name, zone.origin)) return Rcode::not_zone;
    const bool meta = change.type == 0 || (change.type >= first_meta_type && change.type <= last_meta_type) ||
                      change.type == type_opt;
    if (meta || (change.type == type_any && change.class_code != class_any)) return Rcode::form_error;
    if (change.class_code == class_in ? change.data.empty() : change.ttl != 0) return Rcode::form_error;
    if (change.class_code == class_any && !change.data.empty()) return Rcode::form_error;
    if (change.class_code != class_in && change.class_code != class_any && change.class_code != class_none)
      return Rcode::form_error;
  }
  return Rcode::ok;
}

/// The serial number in an SOA record.
std::uint32_t serial_of(const Record& soa) { return get32(soa.data, soa.data.size() - soa_numbers_size); }

/// Removes the records that match; returns whether there were any.
template <class Predicate>
bool remove_records(Zone& zone, Predicate predicate) {
  const auto before = zone.records.size();
  zone.records.erase(std::remove_if(zone.records.begin(), zone.records.end(), predicate), zone.records.end());
  return zone.records.size() != before;
}

/// Adds or replaces a record (RFC 2136, 3.4.2.2); returns whether the zone has changed.
bool add_record(Zone& zone, const Record& added) {
  // A name with a CNAME record has no other records.
  const bool cname = has_record(zone, added.name, type_cname);
  if (added.type == type_cname ? !cname && has_record(zone, added.name, type_any) : cname) return false;
  for (auto& old : zone.records) {
    if (old.name != added.name || old.type != added.type) continue;
    if (added.type == type_soa) {
      // Serial numbers wrap around (RFC 1982).
      if (static_cast<std::int32_t>(serial_of(added) - serial_of(old)) <= 0) return false;
    } else if (added.type != type_cname && old.data != added.data) {
      continue;
    }
    const bool differs = old.data != added.data || old.ttl != added.ttl;
    old = added;
    return differs;
  }
  if (added.type == type_soa) return false;
  zone.records.push_back(added);
  return true;
}

/// Adds a record, or deletes a record, a record set or all records of a name; returns whether the zone has
/// changed.
bool apply_change(Zone& zone, const Record& change) {
  if (change.class_code == class_in) return add_record(zone, change);
  const bool apex = change.name == zone.origin;
  if (change.class_code == class_any)
    return remove_records(zone, [&](const Record& old) {
      if (old.name != change.name || (change.type != type_any && old.type != change.type)) return false;
      // A zone must keep its SOA and NS records.
      return !(apex && (old.type == type_soa || old.type == type_ns));
    });
  if (change.type == type_soa) return false;
  if (apex && change.type == type_ns && sorted_data(zone.records, change).size() < 2) return false;
  return remove_records(zone, [&](const Record& old) {
    return old.name == change.name && old.type == change.type && old.data == change.data;
  });
}

/// Applies an update completely or not at all.
Rcode apply_update(Zone& zone, const Update& update, bool& changed) {
  auto rcode = check_prerequisites(zone, update.prerequisites);
  if (rcode == Rcode::ok) rcode = check_changes(zone, update.changes);
  if (rcode != Rcode::ok) return rcode;
  const auto soa = [&] {
    return std::find_if(zone.records.begin(), zone.records.end(),
                        [](const Record& r) { return r.type == type_soa; });
  };
  const auto serial = serial_of(*soa());
  for (const auto& change : update.changes) changed = apply_change(zone, change) || changed;
  // An update that changes the zone without setting a new serial number advances it.
  if (auto it = soa(); changed && serial_of(*it) == serial) {
    std::string next_serial;
    put32(next_serial, serial + 1 == 0 ? 1 : serial + 1);
    it->data.replace(it->data.size() - soa_numbers_size, serial_size, next_serial);
  }
  return Rcode::ok;
}

/// Parses an update message and applies it.
Rcode process_update(std::string_view message, Zone& zone, bool& changed) {
  MessageReader in(message);
  in.u16();  // the message id
  const auto flags = in.u16();
  const auto zone_count = in.u16();
  const auto prerequisite_count = in.u16();
  const auto change_count = in.u16();
  in.u16();  // the number of additional records, which are ignored
  if ((flags >> opcode_shift & max_opcode) != opcode_update) return Rcode::not_implemented;
  if (zone_count != 1) return Rcode::form_error;
  const auto origin = in.name();
  const auto type = in.u16();
  const auto class_code = in.u16();
  if (!in.ok() || type != type_soa) return Rcode::form_error;
  if (origin != zone.origin || class_code != class_in) return Rcode::not_auth;
  Update update;
  for (std::uint32_t i = 0; i < prerequisite_count && in.ok(); ++i)
    update.prerequisites.push_back(in.record());
  for (std::uint32_t i = 0; i < change_count && in.ok(); ++i) update.changes.push_back(in.record());
  if (!in.ok()) return Rcode::form_error;
  return apply_update(zone, update, changed);
}

/// The name=value strings of the TXT records at a name.
std::map<std::string, std::string> txt_attributes(const Zone& zone, const std::string& name) {
  std::map<std::string, std::string> attributes;
  for (const auto& record : zone.records) {
    if (record.name != name || record.type != type_txt) continue;
    for (std::size_t at = 0; at < record.data.size();
         at += 1U + static_cast<unsigned char>(record.data[at])) {
      const auto text = record.data.substr(at + 1, static_cast<unsigned char>(record.data[at]));
      if (const auto equals = text.find('='); equals != std::string::npos)
        attributes[text.substr(0, equals)] = text.substr(equals + 1);
    }
  }
  return attributes;
}

}  // namespace

std::optional<std::string> name_from_text(std::string_view text, std::string_view origin) {
  if (text == "@") return std::string(origin);
  if (text == ".") return std::string(1, '\0');
  std::string out;
  std::string label;
  const auto end_label = [&] {
    if (label.empty() || label.size() > max_label_size) return false;
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
      std::string unescaped;
      if (i + length >= text.size() || !unescape(text.substr(i, length + 1), unescaped)) return std::nullopt;
      for (const char c : unescaped) label += to_lower(c);
      i += length;
    } else {
      label += to_lower(text[i]);
    }
  }
  if (!absolute && !end_label()) return std::nullopt;
  if (absolute)
    out += '\0';
  else
    out += origin;
  if (out.size() > max_name_size || out.back() != '\0') return std::nullopt;
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
  const auto zone_origin = name_from_text(origin_text, std::string_view("\0", 1));
  if (!zone_origin) {
    error = "origin";
    return false;
  }
  zone.origin = *zone_origin;
  std::string origin = *zone_origin;         // as set by the last $ORIGIN
  std::string owner;                         // of the last record
  std::optional<std::uint32_t> default_ttl;  // as set by the last $TTL
  std::uint32_t last_ttl = 0;                // the last one that a record has stated
  std::vector<Entry> entries;
  int error_line = 0;
  const auto fail = [&](int line) {
    error = "line " + std::to_string(line);
    return false;
  };
  if (!split_entries(text, entries, error_line)) return fail(error_line);
  for (const auto& entry : entries) {
    const auto& tokens = entry.tokens;
    if (tokens[0].text == "$ORIGIN" || tokens[0].text == "$TTL") {
      if (tokens.size() != 2) return fail(entry.line);
      const auto name = name_from_text(tokens[1].text, origin);
      const auto ttl = to_int(tokens[1].text);
      if (tokens[0].text == "$ORIGIN" ? !name : !ttl || *ttl > max_ttl) return fail(entry.line);
      if (tokens[0].text == "$ORIGIN")
        origin = *name;
      else
        default_ttl = static_cast<std::uint32_t>(*ttl);
      continue;
    }
    std::size_t next = 0;  // index of the next token
    if (!entry.blank_owner) {
      const auto name = name_from_text(tokens[next++].text, origin);
      if (!name) return fail(entry.line);
      owner = *name;
    }
    if (owner.empty() || !in_zone(owner, zone.origin)) return fail(entry.line);
    Record record;
    record.name = owner;
    record.ttl = default_ttl.value_or(last_ttl);
    for (; next < tokens.size(); ++next)  // TTL and class, in either order
      if (const auto ttl = to_int(tokens[next].text); ttl && *ttl <= max_ttl) {
        last_ttl = static_cast<std::uint32_t>(*ttl);
        record.ttl = last_ttl;
      } else if (tokens[next].text != "IN" && tokens[next].text != "in") {
        break;
      }
    const auto type = next < tokens.size() ? type_from_text(tokens[next].text) : std::nullopt;
    if (!type) return fail(entry.line);
    record.type = *type;
    if (!data_from_text(record.type, tokens, next + 1, origin, record.data)) return fail(entry.line);
    if (record.type == type_soa && (record.name != zone.origin || has_record(zone, record.name, type_soa)))
      return fail(entry.line);
    zone.records.push_back(std::move(record));
  }
  if (!has_record(zone, zone.origin, type_soa)) {
    error = "no SOA record";
    return false;
  }
  return true;
}

std::string handle_update(std::string_view message, Zone& zone, bool& changed) {
  changed = false;
  // Responses are not answered, so that two servers cannot answer each other without end. Messages without a
  // complete header have no usable id.
  if (message.size() < message_header_size) return {};
  const auto flags = static_cast<unsigned char>(message[flags_offset]);
  if ((flags & response_flag) != 0) return {};
  const auto rcode = process_update(message, zone, changed);
  std::string out(message.substr(0, message_id_size));
  out += static_cast<char>(response_flag | (flags & opcode_mask));
  out += static_cast<char>(rcode);
  out.append(message_header_size - out.size(), '\0');  // the counts of sections, which are all empty
  return out;
}

broker::MemberList member_list_of(const Zone& zone, std::uint64_t version) {
  broker::MemberList list;
  list.version = version;
  list.full = true;
  constexpr std::string_view service_prefix("\6_mysql\4_tcp", 12);
  for (const auto& service : zone.records) {
    if (service.type != type_srv || service.name.compare(0, service_prefix.size(), service_prefix) != 0)
      continue;
    // The group's label, behind its length, and the origin.
    const auto rest = std::string_view(service.name).substr(service_prefix.size());
    const auto length = static_cast<unsigned char>(rest[0]);
    const auto group = length > 1 && rest[1] == 'g' ? to_int(rest.substr(2, length - 1U)) : std::nullopt;
    if (!group || rest.substr(1U + length) != zone.origin) continue;
    const auto target = service.data.substr(srv_numbers_size);
    const auto address = std::find_if(zone.records.begin(), zone.records.end(), [&](const Record& record) {
      return record.type == type_a && record.name == target;
    });
    if (address == zone.records.end()) continue;
    char ip_text[INET_ADDRSTRLEN] = "";
    inet_ntop(AF_INET, address->data.data(), ip_text, sizeof ip_text);
    auto attributes = txt_attributes(zone, target);
    broker::Member member;
    const auto port = std::to_string(get16(service.data, srv_port_offset));
    member.id = name_to_text(target) + ":" + port;
    member.address = std::string(ip_text) + ":" + port;
    member.zone = attributes["zone"];
    member.group = GroupId{*group};
    member.primary = get16(service.data, srv_priority_offset) == 0;
    member.weight = std::max<double>(1, get16(service.data, srv_weight_offset));
    if (attributes["state"] == "draining") member.state = HostState::draining;
    const auto started_ms = to_int(attributes["started_ms"]);
    if (started_ms && *started_ms > 0 && *started_ms < started_limit_ms)
      member.started_at = std::chrono::milliseconds(*started_ms);
    list.members.push_back(std::move(member));
  }
  return list;
}

}  // namespace cedarring::wire::dns
