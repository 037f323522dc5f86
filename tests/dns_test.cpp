// DNS zones: master files, dynamic updates, and the hosts that a zone lists to the MySQL listener.
#include "wire/dns.h"

#include <gtest/gtest.h>
#include <signal.h>
#include <unistd.h>

#include <fstream>

#include "support/stand_in.h"

namespace cedarring::test {
namespace {

using namespace std::string_literals;
namespace dns = wire::dns;

// Codes of record types and classes, written out here to check those that the code under test uses.
constexpr unsigned rr_a = 1;
constexpr unsigned rr_ns = 2;
constexpr unsigned rr_srv = 33;
constexpr unsigned rr_any = 255;
constexpr unsigned in = 1;
constexpr unsigned none = 254;
constexpr unsigned any = 255;

/// The first three lines of each zone: its default TTL, an SOA record with the serial number 7 and an NS
/// record.
const std::string zone_head = "$TTL 60\n@ IN SOA ns hostmaster 7 3600 600 86400 60\n@ NS ns\n";

/// The wire format of a name in the zone ledger.test.
std::string name(const std::string& text) { return *dns::name_from_text(text, "\6ledger\4test\0"s); }

void put16(std::string& out, unsigned value) {
  out += static_cast<char>(value >> 8U);
  out += static_cast<char>(value & 0xffU);
}

/// A record in wire format; `ttl` in seconds.
std::string record(const std::string& owner, unsigned type, unsigned class_code, unsigned ttl,
                   const std::string& data = "") {
  std::string out = name(owner);
  put16(out, type);
  put16(out, class_code);
  put16(out, 0);  // the upper half of the TTL
  put16(out, ttl);
  put16(out, static_cast<unsigned>(data.size()));
  return out + data;
}

/// An update message; `flags` 0x2800 is a request with the opcode for updates.
std::string update(const std::vector<std::string>& prerequisites, const std::vector<std::string>& changes,
                   const std::string& zone = "@", unsigned flags = 0x2800) {
  std::string out;
  for (const unsigned field : {0xabcdU, flags, 1U, static_cast<unsigned>(prerequisites.size()),
                               static_cast<unsigned>(changes.size()), 0U})
    put16(out, field);
  out += name(zone);
  put16(out, dns::type_soa);
  put16(out, dns::class_in);
  for (const auto& r : prerequisites) out += r;
  for (const auto& r : changes) out += r;
  return out;
}

/// The data of an A record for the address 127.0.0.`last_byte`.
std::string a_data(char last_byte) { return std::string("\x7f\0\0", 3) + last_byte; }
/// The data of an SRV record with the weight 1.
std::string srv_data(unsigned priority, unsigned port, const std::string& target) {
  std::string out;
  put16(out, priority);
  put16(out, 1);  // weight
  put16(out, port);
  return out + name(target);
}

/// The zone ledger.test with the records of a master file.
dns::Zone zone_of(const std::string& text) {
  dns::Zone zone;
  std::string error;
  EXPECT_TRUE(dns::parse_zone(text, "ledger.test.", zone, error)) << error;
  return zone;
}

TEST(Zone, MasterFileIsParsedOrTheLineAtFaultNamed) {
  const auto zone = zone_of(
      "$ORIGIN ledger.test.\n$TTL 300 ; by default\n"
      "@ 60 IN SOA ns hostmaster (\n  7 3600 ; serial and refresh\n  600 86400 60 )\n\tNS ns\n"
      "ns A 127.0.0.1\nA\\.b\\065 IN 10 TXT \"two words; one\" \"a\\\"b\"\n$ORIGIN sub.ledger.test.\nx AAAA "
      "::1\n"
      "y.ledger.test. MX 10 x\n");
  ASSERT_EQ(zone.records.size(), 6U);
  EXPECT_EQ(zone.records[1].name, name("@"));
  EXPECT_EQ(zone.records[1].ttl, 300U);
  EXPECT_EQ(zone.records[3].name, "\4a.ba\6ledger\4test\0"s);
  EXPECT_EQ(zone.records[3].data, "\x0etwo words; one\3a\"b"s);
  EXPECT_EQ(zone.records[3].ttl, 10U);
  EXPECT_EQ(zone.records[4].name, name("x.sub"));
  EXPECT_EQ(zone.records[5].data, "\0\x0a"s + name("x.sub"));
  struct Case {
    std::string text;
    std::string error;
  };
  for (const auto& c :
       {Case{"@ NS ns\n", "no SOA record"}, Case{zone_head + "a A 127.0.0.256\n", "line 4"},
        Case{zone_head + "a SRV 0 0 70000 b\n", "line 4"}, Case{zone_head + "a TXT \"open\n", "line 4"},
        Case{zone_head + "a A ( 127.0.0.1\n", "line 4"}, Case{zone_head + "a A 127.0.0.1 )\n", "line 4"},
        Case{zone_head + "$INCLUDE other\n", "line 4"},
        Case{zone_head + "a.elsewhere. A 127.0.0.1\n", "line 4"},
        Case{zone_head + "a..b A 127.0.0.1\n", "line 4"},
        Case{zone_head + std::string(64, 'a') + " A 127.0.0.1\n", "line 4"},
        Case{zone_head + "a\n", "line 4"}, Case{zone_head + "a CH A 127.0.0.1\n", "line 4"}}) {
    dns::Zone parsed;
    std::string error;
    EXPECT_FALSE(dns::parse_zone(c.text, "ledger.test.", parsed, error)) << c.text;
    EXPECT_EQ(error, c.error) << c.text;
  }
}

TEST(Zone, UpdateIsAppliedWholeOrAnsweredWithItsErrorCode) {
  using dns::Rcode;
  struct Case {
    std::string name;
    std::string message;
    Rcode rcode;
    bool changed;
  };
  const auto text = zone_head + "a A 127.0.0.1\na A 127.0.0.2\nc CNAME a\n";
  for (const auto& c : {
           Case{"add", update({}, {record("b", rr_a, in, 60, a_data(3))}), Rcode::ok, true},
           Case{"add an existing record", update({}, {record("a", rr_a, in, 60, a_data(1))}), Rcode::ok,
                false},
           Case{"add beside a CNAME", update({}, {record("c", rr_a, in, 60, a_data(3))}), Rcode::ok, false},
           Case{"delete a record", update({}, {record("a", rr_a, none, 0, a_data(2))}), Rcode::ok, true},
           Case{"delete a record set", update({}, {record("a", rr_a, any, 0)}), Rcode::ok, true},
           Case{"delete a name", update({}, {record("a", rr_any, any, 0)}), Rcode::ok, true},
           Case{"the apex keeps SOA and NS", update({}, {record("@", rr_any, any, 0)}), Rcode::ok, false},
           Case{"the last NS stays", update({}, {record("@", rr_ns, none, 0, name("ns"))}), Rcode::ok, false},
           Case{"name in use", update({record("a", rr_any, any, 0)}, {}), Rcode::ok, false},
           Case{"name not in use", update({record("x", rr_any, any, 0)}, {}), Rcode::nx_domain, false},
           Case{"record set missing", update({record("a", rr_srv, any, 0)}, {}), Rcode::nx_rrset, false},
           Case{"name exists unexpectedly", update({record("a", rr_any, none, 0)}, {}), Rcode::yx_domain,
                false},
           Case{"record set exists unexpectedly", update({record("a", rr_a, none, 0)}, {}), Rcode::yx_rrset,
                false},
           Case{"record set matches",
                update({record("a", rr_a, in, 0, a_data(2)), record("a", rr_a, in, 0, a_data(1))}, {}),
                Rcode::ok, false},
           Case{"record set differs", update({record("a", rr_a, in, 0, a_data(1))}, {}), Rcode::nx_rrset,
                false},
           Case{"a failed prerequisite rejects the update",
                update({record("x", rr_any, any, 0)}, {record("b", rr_a, in, 60, a_data(3))}),
                Rcode::nx_domain, false},
           Case{"an invalid change rejects the update",
                update({}, {record("b", rr_a, in, 60, a_data(3)), record("b", rr_any, in, 60, "x")}),
                Rcode::form_error, false},
           Case{"another zone", update({}, {}, "x.other."), Rcode::not_auth, false},
           Case{"a name outside the zone", update({}, {record("b.other.", rr_a, in, 60, a_data(3))}),
                Rcode::not_zone, false},
           Case{"a query", update({}, {}, "@", 0), Rcode::not_implemented, false},
           Case{"truncated data", update({}, {record("b", rr_a, in, 60, "\x7f"s)}), Rcode::form_error, false},
       }) {
    auto zone = zone_of(text);
    const auto before = zone.records.size();
    bool changed = false;
    const auto answer = dns::handle_update(c.message, zone, changed);
    ASSERT_EQ(answer.size(), 12U) << c.name;
    EXPECT_EQ(answer.substr(0, 2), "\xab\xcd") << c.name;
    EXPECT_EQ(answer[3], static_cast<char>(c.rcode)) << c.name;
    EXPECT_EQ(changed, c.changed) << c.name;
    const auto serial = zone.records[0].data.substr(zone.records[0].data.size() - 20, 4);
    EXPECT_EQ(serial, changed ? "\0\0\0\x08"s : "\0\0\0\7"s) << c.name;
    EXPECT_TRUE(changed || zone.records.size() == before) << c.name;
  }
  auto zone = zone_of(text);
  bool changed = false;
  const auto complete =
      update({record("a", rr_any, any, 0)}, {record("b", rr_srv, in, 60, srv_data(0, 9, "a"))});
  for (std::size_t length = 0; length < complete.size(); ++length) {
    const auto answer = dns::handle_update(complete.substr(0, length), zone, changed);
    EXPECT_EQ(answer.size(), length < 12 ? 0U : 12U);
    EXPECT_FALSE(changed);
  }
  EXPECT_EQ(dns::handle_update(update({}, {}, "@", 0xa800), zone, changed),
            "");  // a response is not answered
  auto loop = update({}, {});
  loop.replace(12, 14, "\xc0\x0c"s);  // a name with a pointer to itself
  EXPECT_EQ(dns::handle_update(loop, zone, changed)[3], static_cast<char>(Rcode::form_error));
}

TEST(Zone, ServiceRecordsGiveTheMemberList) {
  const auto zone =
      zone_of(zone_head +
              "a A 127.0.0.1\na TXT zone=kotoni state=draining started_ms=1500\nb A 127.0.0.2\n"
              "_mysql._tcp.g4 SRV 0 5 3306 a\n_mysql._tcp.g4 SRV 1 0 3307 b\n_mysql._tcp.g4 SRV 1 0 1 gone\n"
              "_mysql._tcp.x SRV 0 0 1 a\n_pg._tcp.g4 SRV 0 0 1 a\n");
  const auto list = dns::member_list_of(zone, 3);
  ASSERT_EQ(list.members.size(), 2U);
  const auto& a = list.members[0];
  const auto& b = list.members[1];
  EXPECT_EQ(a.id, "a.ledger.test.:3306");
  EXPECT_EQ(a.address, "127.0.0.1:3306");
  EXPECT_EQ(a.group, GroupId{4});
  EXPECT_TRUE(a.primary);
  EXPECT_EQ(a.state, HostState::draining);
  EXPECT_EQ(a.zone, "kotoni");
  EXPECT_EQ(a.started_at, Time(1'500'000));
  EXPECT_FALSE(b.primary);
  EXPECT_EQ(b.state, HostState::ready);
}

// The started program reads its member list from the zone.
TEST(Zone, UpdateMovesTheGroupToAnotherHost) {
  MysqlStandIn a;
  MysqlStandIn b;
  a.primary = true;
  b.primary = true;
  const auto port = [](const Host& host) { return host.address().substr(host.address().rfind(':') + 1); };
  const std::string file = testing::TempDir() + "cedarring-" + std::to_string(getpid()) + ".zone";
  std::ofstream(file) << zone_head << "a A 127.0.0.1\nb A 127.0.0.1\n_mysql._tcp.g1 SRV 0 0 " << port(a)
                      << " a\n";
  GatewayProcess program(
      config_json("127.0.0.1:1", list_of(1, {})),
      R"({"enabled":true,"listen":"127.0.0.1:0","dns":{"origin":"ledger.test.","listen":"127.0.0.1:0",)"
      R"("zone_file":")" +
          file + "\"}}");
  ::unlink(file.c_str());
  MysqlRaw client(program.mysql());
  const auto run = [&](const std::string& id) {
    client.command(wire::mysql::query_packet({}, statement(id, "pay")));
    const auto first = client.read_packet();
    for (int i = 0; i < 3 && first == "\1"; ++i) client.read_packet();
    return first == "\1";
  };
  EXPECT_TRUE(run("e1"));
  const auto message = update({}, {record("_mysql._tcp.g1", rr_srv, any, 0),
                                   record("_mysql._tcp.g1", rr_srv, in, 60,
                                          srv_data(0, static_cast<unsigned>(std::stoul(port(b))), "b"))});
  Socket dns(wire::bind_datagram("127.0.0.1:0"));
  ASSERT_TRUE(dns.connect(program.dns()));
  dns.send(message);
  const auto answer = dns.read(12);  // sent after the new list has been applied
  ASSERT_TRUE(answer);
  EXPECT_EQ((*answer)[3], 0);
  EXPECT_TRUE(run("e2"));
  EXPECT_EQ(a.seen(), (std::vector<std::string>{"e1"}));
  EXPECT_EQ(b.seen(), (std::vector<std::string>{"e2"}));
}

// Both listeners and the zone's socket are handed over to the next process; a MySQL client keeps its
// connection.
TEST(Zone, HandoverPassesTheMysqlListenerAndTheZoneSocket) {
  MysqlStandIn a;
  a.primary = true;
  const auto port = a.address().substr(a.address().rfind(':') + 1);
  const std::string file = testing::TempDir() + "cedarring-" + std::to_string(getpid()) + "-up.zone";
  std::ofstream(file) << zone_head << "a A 127.0.0.1\n_mysql._tcp.g1 SRV 0 0 " << port << " a\n";
  PgStandIn platform;
  platform.primary = true;
  GatewayProcess first(
      with_key(config_json("127.0.0.1:1", list_of(1, {member("p", platform.address(), true)})),
               R"("control":"127.0.0.1:0")"),
      R"({"enabled":true,"listen":"127.0.0.1:0","dns":{"origin":"ledger.test.","listen":"127.0.0.1:0",)"
      R"("zone_file":")" +
          file + "\"}}");
  MysqlRaw client(first.mysql());
  const auto run = [&](const std::string& id) {
    client.command(wire::mysql::query_packet({}, statement(id, "pay")));
    const auto packet = client.read_packet();
    for (int i = 0; i < 3 && packet == "\1"; ++i) client.read_packet();
    return packet == "\1";
  };
  EXPECT_TRUE(run("a"));
  GatewayProcess next(first, first.pg());
  ASSERT_TRUE(first.wait_output("replaced by a new process", 1));
  EXPECT_TRUE(next.wait_output("listening dns " + first.dns(), 1));
  EXPECT_TRUE(next.wait_output("listening mysql " + first.mysql(), 1));
  EXPECT_EQ(next.pg(), first.pg());
  first.signal(SIGTERM);
  EXPECT_EQ(first.wait_exit(), 0);
  EXPECT_TRUE(run("b"));
  EXPECT_EQ(a.seen(), (std::vector<std::string>{"a", "b"}));
  ::unlink(file.c_str());
}

}  // namespace
}  // namespace cedarring::test
