// Tables of cases for the parsers, the ring buffer and the configuration.
#include <gtest/gtest.h>

#include "app/config.h"
#include "router/settings_parser.h"
#include "support/stand_in.h"
#include "wire/discovery.h"
#include "wire/mysql.h"
#include "wire/pg.h"
#include "wire/ring_buffer.h"
#include "wire/statement.h"

namespace cedarring::test {
namespace {

using namespace std::string_literals;
namespace pg = wire::pg;
namespace my = wire::mysql;

TEST(Statement, TrailingComment) {
  struct Case {
    std::string sql;
    bool good;
    std::string missing, contract;
  };
  for (const auto& c : {
           Case{"SELECT 1 /* id=1,c=view,t=a,d=480,cluster=2 */", true, "", "view"},
           Case{"SELECT 1 /*id=1,c=view,d=480,cluster=2*/ ; ", true, "", "view"},
           Case{"SELECT 1 /* x=y */ /* id=1, c=bid , d=1, cluster=0, new=7 */", true, "", "bid"},
           Case{"SELECT 1", false, "a trailing comment", ""},
           Case{"SELECT /* c=view,d=480,cluster=2 */ 1", false, "a trailing comment", ""},
           Case{"/*/", false, "a trailing comment", ""},
           Case{"SELECT 1 /* c=view,d=480,cluster=2 */", false, "id", "view"},
           Case{"SELECT 1 /* id=,c=view,d=480,cluster=2 */", false, "id", "view"},
           Case{"SELECT 1 /* id=" + std::string(129, 'x') + ",c=view,d=480,cluster=2 */", false, "id",
                "view"},
           Case{"SELECT 1 /* id=1,d=480,cluster=2 */", false, "c", ""},
           Case{"SELECT 1 /* id=1,c=view,cluster=2 */", false, "d", "view"},
           Case{"SELECT 1 /* id=1,c=view,d=480 */", false, "cluster", "view"},
           Case{"SELECT 1 /* c=view,d=-1,cluster=2 */", false, "a number in d", "view"},
           Case{"SELECT 1 /* c=view,d=9999999999999999999,cluster=2 */", false, "a number in d", "view"},
           Case{"SELECT 1 /* id=1,c=view,d=86400001,cluster=2 */", false, "d", "view"},
       }) {
    wire::StatementInfo info;
    std::string missing;
    EXPECT_EQ(wire::parse_statement(c.sql, info, missing), c.good) << c.sql;
    EXPECT_EQ(missing, c.missing) << c.sql;
    EXPECT_EQ(info.contract, c.contract) << c.sql;
  }
}

TEST(Statement, AllFieldsAndADeadlineOfOurOwn) {
  const std::string sql =
      "INSERT INTO r (k, v) VALUES ('7f3a', '\\x00') /* "
      "id=9b,c=bid,t=acme,d=480,k=5c,r=1,cluster=2,after=1767225600123 */";
  wire::StatementInfo info;
  std::string missing;
  ASSERT_TRUE(wire::parse_statement(sql, info, missing));
  EXPECT_EQ(info.id, "9b");
  EXPECT_EQ(info.key, "5c");
  EXPECT_EQ(info.session, "7f3a");
  EXPECT_TRUE(info.retry);
  EXPECT_EQ(info.after_ms, 1767225600123);
  auto own = sql;
  own.replace(own.find("d=480"), 5, "d=77");
  EXPECT_EQ(wire::with_deadline(sql, info, 77), own);
}

TEST(Statement, NotesOfAHost) {
  struct Case {
    std::string name, value;
    Role role;
    std::optional<Time> position;
  };
  for (const auto& c :
       {Case{"recovery", "off", Role::primary, {}}, Case{"recovery", "on", Role::replica, {}},
        Case{"recovery", "o\x7f", Role::unknown, {}}, Case{"lsn_ms", "1500", Role::unknown, Time(1'500'000)},
        Case{"lsn_ms", "", Role::unknown, {}}, Case{"lsn_ms", "-4", Role::unknown, {}},
        Case{"lsn_ms", "99999999999999", Role::unknown, {}}}) {
    AnswerMetadata note;
    wire::set_note(c.name, c.value, note);
    EXPECT_EQ(note.role, c.role) << c.value;
    EXPECT_EQ(note.position, c.position) << c.value;
  }
}

TEST(Statement, AReportIsReadWholeOrNotAtAll) {
  const auto good = parse_strict_report("x0=1767225600.123,x1=1,pending=3");
  EXPECT_EQ(good.position, Time(1'767'225'600'123'000));
  EXPECT_EQ(good.role, Role::primary);
  EXPECT_EQ(good.queue_length, 3);
  for (const auto* bad : {"", "x0", "x0=1767225600.123,x1=1,pending=", "x0=1,x1=2", "x0=1,x1=1,pending=-1",
                          "x0=1,x0=2", "x0=1,x1=1,\x01\xff", "x0=1e999", "x0=1,,x1=1", "=1"}) {
    const auto r = parse_strict_report(bad);
    EXPECT_FALSE(r.position || r.role || r.queue_length || r.utilization) << bad;
  }
}

TEST(Pg, Framing) {
  struct Case {
    std::string in;
    pg::Frame frame;
    std::size_t size;
  };
  for (const auto& c :
       {Case{"", pg::Frame::partial, 0}, Case{"Q\0\0\0"s, pg::Frame::partial, 0},
        Case{"Q\0\0\0\5"s, pg::Frame::partial, 0}, Case{"Q\0\0\0\4more"s, pg::Frame::whole, 5},
        Case{"Q\0\0\0\3"s, pg::Frame::bad, 0}, Case{"Q\0\1\0\0"s, pg::Frame::bad, 0},
        Case{"Q\xff\xff\xff\xff"s, pg::Frame::bad, 0}}) {
    pg::Message m;
    EXPECT_EQ(pg::next_message(c.in, 1000, m), c.frame);
    EXPECT_EQ(m.size, c.size);
  }
  struct Start {
    std::string in;
    pg::Frame frame;
    pg::StartupKind kind;
  };
  for (const auto& c :
       {Start{"\0\0\0\x08\x04\xd2\x16\x2f"s, pg::Frame::whole, pg::StartupKind::ssl},
        Start{"\0\0\0\x08\x04\xd2\x16\x30"s, pg::Frame::whole, pg::StartupKind::gss},
        Start{"\0\0\0\x10\x04\xd2\x16\x2e\0\0\0\0\0\0\0\0"s, pg::Frame::whole, pg::StartupKind::cancel},
        Start{"\0\0\0\x08\0\2\0\0"s, pg::Frame::whole, pg::StartupKind::unknown},
        Start{pg_startup(), pg::Frame::whole, pg::StartupKind::startup},
        Start{"\0\0\0\x07"s, pg::Frame::bad, pg::StartupKind::unknown},
        Start{"GET / HTTP/1.1\r\n", pg::Frame::bad, pg::StartupKind::unknown},
        Start{"\0\0\0\x09\0"s, pg::Frame::partial, pg::StartupKind::unknown}}) {
    pg::Startup s;
    EXPECT_EQ(pg::next_startup(c.in, s), c.frame);
    EXPECT_EQ(s.kind, c.kind);
  }
}

TEST(Pg, FieldsColumnsAndOutcomes) {
  EXPECT_EQ(pg::error_field("SERROR\0C53300\0Mbusy\0\0"s, 'C'), "53300");
  EXPECT_EQ(pg::error_field("SERROR\0C53300"s, 'C'), "");
  EXPECT_EQ(pg::error_field("SERROR\0C53300\0\0more"s, 'C'), "");
  EXPECT_EQ(pg::error_field("", 'C'), "");
  for (const auto& [code, good] : {std::pair{"53300"s, true},
                                   {"XX000"s, true},
                                   {""s, false},
                                   {"5330"s, false},
                                   {"533000"s, false},
                                   {"5330\0"s, false},
                                   {"xx000"s, false}})
    EXPECT_EQ(pg::valid_code(code), good) << code;
  const auto rest = std::string(18, '\0');
  for (const auto& [body, good] : {std::pair{"\0\1v\0"s + rest, true},
                                   {"\0\1\0"s + rest, true},
                                   {""s, false},
                                   {"\0\1"s, false},
                                   {"\0\2v\0"s + rest, false},
                                   {"\xff\xffv\0"s + rest, false},
                                   {"\0\1v"s, false},
                                   {"\0\1v\0"s + rest + "x", false},
                                   {"\0\1v\0"s + rest.substr(1), false}})
    EXPECT_EQ(pg::one_column(body), good);
  EXPECT_EQ(pg::only_column("\0\1\0\0\0\2ab"s), "ab");
  for (const auto& bad : {"\0\2\0\0\0\1a\0\0\0\1b"s, "\0\1\xff\xff\xff\xff"s, "\0\1\0\0\0\3ab"s, "\0"s})
    EXPECT_EQ(pg::only_column(bad), std::nullopt);
  struct Case {
    std::string code;
    Outcome outcome;
  };
  for (const auto& c :
       {Case{"25006", Outcome::too_stale}, Case{"72000", Outcome::too_stale}, Case{"53300", Outcome::full},
        Case{"57P03", Outcome::full}, Case{"XX000", Outcome::error}, Case{"08P01", Outcome::error}})
    EXPECT_EQ(pg::outcome_of(c.code), c.outcome) << c.code;
}

TEST(Mysql41, FramingAndNumbers) {
  struct Case {
    std::string in;
    my::Frame frame;
  };
  for (const auto& c : {Case{"\1\0\0"s, my::Frame::partial}, Case{"\1\0\0\0"s, my::Frame::partial},
                        Case{"\1\0\0\0\x0e"s, my::Frame::whole}, Case{"\xff\xff\xff\0"s, my::Frame::bad}}) {
    my::Packet p;
    EXPECT_EQ(my::next_packet(c.in, 1000, p), c.frame);
  }
  for (const std::uint64_t n : {0ULL, 250ULL, 251ULL, 65535ULL, 65536ULL, 16777215ULL, 16777216ULL, ~0ULL}) {
    std::string out;
    my::put_lenenc(out, n);
    my::Reader in(out);
    EXPECT_EQ(in.lenenc(), n);
    EXPECT_TRUE(in.ok() && in.rest().empty());
  }
  for (const auto& bad : {""s, "\xfb"s, "\xff"s, "\xfc\1"s, "\xfe\1\1\1"s}) {
    my::Reader in(bad);
    in.lenenc();
    EXPECT_FALSE(in.ok());
  }
}

TEST(Mysql41, OkPacketWithSessionState) {
  // OK, 1 row, status 0x4002, no warnings, empty info, one system variable recovery=on.
  const auto ok = "\0\1\0\2\x40\0\0\0\x0e\0\x0c\x08recovery\2on"s;
  my::Ok parsed;
  ASSERT_TRUE(my::parse_ok(ok, parsed));
  EXPECT_EQ(parsed.affected_rows, 1U);
  ASSERT_EQ(parsed.variables.size(), 1U);
  EXPECT_EQ(parsed.variables[0].first, "recovery");
  EXPECT_EQ(parsed.variables[0].second, "on");
  EXPECT_EQ(my::ok_packet(parsed, 0, true), ok);
  for (std::size_t n = 0; n < ok.size(); ++n) {
    if (n == 7) continue;  // whole too: the status text is optional
    EXPECT_FALSE(my::parse_ok(std::string_view(ok).substr(0, n), parsed)) << n;
  }
}

TEST(Mysql41, ErrorsAndOutcomes) {
  my::Error e;
  ASSERT_TRUE(my::parse_error("\xff\x0a\5#HY000read only"s, e));
  EXPECT_EQ(e.code, 1290);
  EXPECT_EQ(e.message, "read only");
  EXPECT_FALSE(my::parse_error("\xff\x0a"s, e));
  EXPECT_FALSE(my::parse_error("\xff\x0a\5#HY"s, e));
  struct Case {
    std::uint16_t code;
    std::string state;
    Outcome outcome;
  };
  for (const auto& c : {Case{1290, "HY000", Outcome::too_stale}, Case{1792, "25006", Outcome::too_stale},
                        Case{1105, "72000", Outcome::too_stale}, Case{1040, "08004", Outcome::full},
                        Case{1243, "HY000", Outcome::not_sent}, Case{1064, "42000", Outcome::error},
                        Case{1053, "08S01", Outcome::error}})
    EXPECT_EQ(my::outcome_of({c.code, c.state, ""}), c.outcome) << c.code;
}

TEST(Mysql41, ParametersCutAnywhereAreRefused) {
  my::Parameter number{0x03, "", false, "\x2a\0\0\0"s}, null{0x06, "", true, ""},
      named{0xfd, "c", false, "\4view"s}, date{0x0c, "", false, "\4\xe4\7\1\2"s};
  const std::vector<my::Parameter> all{number, null, date, named};
  const auto packet = my::execute_packet(7, 3, all);
  my::Execute e;
  ASSERT_TRUE(my::parse_execute(packet, true, 3, {}, {}, e));
  EXPECT_EQ(e.statement, 7U);
  ASSERT_EQ(e.parameters.size(), 4U);
  EXPECT_EQ(my::text_of(e.parameters[0]), "42");
  EXPECT_EQ(my::text_of(e.parameters[1]), std::nullopt);
  EXPECT_EQ(e.parameters[2].value, date.value);
  EXPECT_EQ(e.parameters[3].name, "c");
  EXPECT_EQ(my::text_of(e.parameters[3]), "view");
  for (std::size_t n = 0; n < packet.size(); ++n)
    EXPECT_FALSE(my::parse_execute(std::string_view(packet).substr(0, n), true, 3, {}, {}, e)) << n;
  EXPECT_FALSE(my::parse_execute(packet + "x", true, 3, {}, {}, e));
  const auto query = my::query_packet({named}, "SELECT 1");
  my::Query q;
  ASSERT_TRUE(my::parse_query(query, true, q));
  EXPECT_EQ(q.sql, "SELECT 1");
  EXPECT_EQ(q.attributes.at(0).name, "c");
  EXPECT_FALSE(my::parse_query("\x03\xff"s, true, q));
}

TEST(Mysql41, ShapesOfStatements) {
  struct Case {
    std::string sql;
    std::size_t placeholders;
    bool several, whole;
  };
  for (const auto& c :
       {Case{"SELECT ?, ?", 2, false, true}, Case{"SELECT '?', \"?\", `?` -- ?\n, ?", 1, false, true},
        Case{"SELECT 'it''s ?', 'a\\'?' /* ? */ # ?", 0, false, true},
        Case{"SELECT 1; /* c=view */ ", 0, false, true}, Case{"SELECT 1; DELETE", 0, true, true},
        Case{"SELECT ';' ", 0, false, true}, Case{"SELECT 'x", 0, false, false},
        Case{"SELECT /* x", 0, false, false}, Case{"SELECT 5--?", 1, false, true},
        Case{"'\\", 0, false, false}}) {
    const auto s = my::shape_of(c.sql);
    EXPECT_EQ(s.placeholders, c.placeholders) << c.sql;
    EXPECT_EQ(s.several, c.several) << c.sql;
    EXPECT_EQ(s.whole, c.whole) << c.sql;
  }
}

TEST(Discovery, Lists) {
  const auto list = wire::parse_members(
      list_of(41, {member("a", "127.0.0.1:1", true, "SERVING", 1500), member("b", "nowhere", false),
                   member("c", "127.0.0.1:2", false, "DRAINING"), member("d", "", false, "DELETED"), "7"}));
  ASSERT_TRUE(list);
  EXPECT_EQ(list->version, 41U);
  EXPECT_TRUE(list->full);
  ASSERT_EQ(list->members.size(), 3U);
  EXPECT_TRUE(list->members[0].primary);
  EXPECT_EQ(list->members[0].started_at, Time(1'500'000));
  EXPECT_EQ(list->members[1].state, HostState::draining);
  EXPECT_EQ(list->members[2].state, HostState::gone);
  for (const auto* bad : {"", "7", "{}", R"({"servers":{}})", R"({"servers":[)"})
    EXPECT_FALSE(wire::parse_members(bad)) << bad;
}

TEST(RingBuffer, WrapsGrowsAndKeepsItsBound) {
  wire::RingBuffer b(5000);
  std::string expected;
  for (int i = 0; i < 3000; ++i) {
    const std::string part(static_cast<std::size_t>(i % 37), static_cast<char>('a' + i % 26));
    const bool fits = expected.size() + part.size() <= 5000;
    ASSERT_EQ(b.append(part), fits);
    if (fits) expected += part;
    if (i % 3 == 0) {
      const auto n = std::min<std::size_t>(expected.size(), 50);
      b.consume(n);
      expected.erase(0, n);
    }
    ASSERT_TRUE(i % 7 != 0 || b.view() == expected) << i;
  }
  EXPECT_FALSE(b.append(std::string(6000, 'x')));
}

TEST(Config, SettingsGoThroughTheAdaptersParser) {
  const auto c =
      app::parse_config(config_json("127.0.0.1:1", list_of(3, {member("a", "127.0.0.1:9", true)})));
  EXPECT_EQ(c.platform.settings.classes.at(3).name, "bid");
  EXPECT_EQ(c.platform.settings.classes.at(3).idempotency, Idempotency::keyed);
  EXPECT_EQ(c.platform.settings.classes.at(0).freshness, Freshness::bounded);
  EXPECT_EQ(c.platform.settings.classes.at(0).staleness_bound, Duration(1'000'000));
  EXPECT_EQ(c.platform.settings.seed, 0x2aU);
  EXPECT_EQ(c.platform.budgets.at(0).tenant, "acme");
  EXPECT_EQ(c.platform.known_hosts.members.size(), 1U);
  EXPECT_FALSE(app::parse_mysql_config(R"({"enabled":false})", c.platform));
  struct Case {
    std::string json, key;
  };
  for (const auto& bad : {Case{"[]", "mysql"}, Case{"{}", "enabled"}, Case{R"({"enabled":true})", "listen"},
                          Case{R"({"enabled":true,"listen":"x"})", "mysql.listen"},
                          Case{R"({"enabled":true,"listen":"127.0.0.1:0","known":1})", "mysql.known"}}) {
    try {
      app::parse_mysql_config(bad.json, c.platform);
      ADD_FAILURE() << bad.json;
    } catch (const app::ConfigError& e) {
      EXPECT_NE(std::string(e.what()).find(bad.key), std::string::npos) << e.what();
    }
  }
}

}  // namespace
}  // namespace cedarring::test
