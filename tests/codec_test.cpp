// Unit tests of the protocol codecs, the statement and member-list parsers, the ring buffer and the
// configuration.
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
namespace mysql = wire::mysql;

TEST(Statement, TrailingCommentIsParsedOrItsFirstDefectNamed) {
  struct Case {
    std::string sql;
    bool valid;
    std::string missing;
    std::string class_name;
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
    EXPECT_EQ(wire::parse_statement(c.sql, info, missing), c.valid) << c.sql;
    EXPECT_EQ(missing, c.missing) << c.sql;
    EXPECT_EQ(info.class_name, c.class_name) << c.sql;
  }
}

TEST(Statement, AllFieldsAreParsedAndTheDeadlineIsReplaced) {
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
  auto expected = sql;
  expected.replace(expected.find("d=480"), 5, "d=77");
  EXPECT_EQ(wire::with_deadline(sql, info, 77), expected);
}

TEST(Statement, InvalidHostVariablesAreIgnored) {
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
    AnswerMetadata metadata;
    wire::apply_host_variable(c.name, c.value, metadata);
    EXPECT_EQ(metadata.role, c.role) << c.value;
    EXPECT_EQ(metadata.position, c.position) << c.value;
  }
}

TEST(Statement, MalformedLoadReportIsRejectedWhole) {
  const auto report = parse_strict_report("x0=1767225600.123,x1=1,pending=3");
  EXPECT_EQ(report.position, Time(1'767'225'600'123'000));
  EXPECT_EQ(report.role, Role::primary);
  EXPECT_EQ(report.queue_length, 3);
  for (const auto* text : {"", "x0", "x0=1767225600.123,x1=1,pending=", "x0=1,x1=2", "x0=1,x1=1,pending=-1",
                           "x0=1,x0=2", "x0=1,x1=1,\x01\xff", "x0=1e999", "x0=1,,x1=1", "=1"}) {
    const auto malformed = parse_strict_report(text);
    EXPECT_FALSE(malformed.position || malformed.role || malformed.queue_length || malformed.utilization)
        << text;
  }
}

TEST(Pg, MessagesAndStartupMessagesAreFramed) {
  struct Case {
    std::string in;
    pg::FrameStatus status;
    std::size_t size;  // of the message; 0 if there is no complete one
  };
  for (const auto& c :
       {Case{"", pg::FrameStatus::partial, 0}, Case{"Q\0\0\0"s, pg::FrameStatus::partial, 0},
        Case{"Q\0\0\0\5"s, pg::FrameStatus::partial, 0}, Case{"Q\0\0\0\4more"s, pg::FrameStatus::complete, 5},
        Case{"Q\0\0\0\3"s, pg::FrameStatus::malformed, 0}, Case{"Q\0\1\0\0"s, pg::FrameStatus::malformed, 0},
        Case{"Q\xff\xff\xff\xff"s, pg::FrameStatus::malformed, 0}}) {
    pg::Message message;
    EXPECT_EQ(pg::next_message(c.in, 1000, message), c.status);
    EXPECT_EQ(message.size, c.size);
  }
  struct StartupCase {
    std::string in;
    pg::FrameStatus status;
    pg::StartupKind kind;
  };
  for (const auto& c :
       {StartupCase{"\0\0\0\x08\x04\xd2\x16\x2f"s, pg::FrameStatus::complete, pg::StartupKind::ssl},
        StartupCase{"\0\0\0\x08\x04\xd2\x16\x30"s, pg::FrameStatus::complete, pg::StartupKind::gss},
        StartupCase{"\0\0\0\x10\x04\xd2\x16\x2e\0\0\0\0\0\0\0\0"s, pg::FrameStatus::complete,
                    pg::StartupKind::cancel},
        StartupCase{"\0\0\0\x08\0\2\0\0"s, pg::FrameStatus::complete, pg::StartupKind::unknown},
        StartupCase{pg_startup(), pg::FrameStatus::complete, pg::StartupKind::startup},
        StartupCase{"\0\0\0\x07"s, pg::FrameStatus::malformed, pg::StartupKind::unknown},
        StartupCase{"GET / HTTP/1.1\r\n", pg::FrameStatus::malformed, pg::StartupKind::unknown},
        StartupCase{"\0\0\0\x09\0"s, pg::FrameStatus::partial, pg::StartupKind::unknown}}) {
    pg::Startup startup;
    EXPECT_EQ(pg::next_startup(c.in, startup), c.status);
    EXPECT_EQ(startup.kind, c.kind);
  }
}

TEST(Pg, MissingBytesOfAMessageAreCountedOverParts) {
  const std::string first("T\0\0\0\6ab", 7);
  const std::string second(
      "D\0\0\0\x0a"
      "abcdef",
      11);
  const auto both = first + second;
  EXPECT_EQ(wire::pg::missing_bytes_after(0, first), 0U);
  EXPECT_EQ(wire::pg::missing_bytes_after(0, both), 0U);
  for (std::size_t cut = first.size() + wire::pg::message_header_size; cut <= both.size(); ++cut) {
    const auto missing = wire::pg::missing_bytes_after(0, both.substr(0, cut));
    EXPECT_EQ(missing, both.size() - cut);
    EXPECT_EQ(wire::pg::missing_bytes_after(missing, both.substr(cut)), 0U) << cut;
    EXPECT_EQ(wire::pg::missing_bytes_after(missing, both.substr(cut) + first), 0U) << cut;
  }
}

TEST(Pg, ErrorFieldsColumnsAndOutcomesAreParsed) {
  EXPECT_EQ(pg::error_response_field("SERROR\0C53300\0Mbusy\0\0"s, 'C'), "53300");
  EXPECT_EQ(pg::error_response_field("SERROR\0C53300"s, 'C'), "");
  EXPECT_EQ(pg::error_response_field("SERROR\0C53300\0\0more"s, 'C'), "");
  EXPECT_EQ(pg::error_response_field("", 'C'), "");
  for (const auto& [code, valid] : {std::pair{"53300"s, true},
                                    {"XX000"s, true},
                                    {""s, false},
                                    {"5330"s, false},
                                    {"533000"s, false},
                                    {"5330\0"s, false},
                                    {"xx000"s, false}})
    EXPECT_EQ(pg::is_sqlstate(code), valid) << code;
  const auto attributes = std::string(18, '\0');  // of a column, behind its name
  for (const auto& [body, valid] : {std::pair{"\0\1v\0"s + attributes, true},
                                    {"\0\1\0"s + attributes, true},
                                    {""s, false},
                                    {"\0\1"s, false},
                                    {"\0\2v\0"s + attributes, false},
                                    {"\xff\xffv\0"s + attributes, false},
                                    {"\0\1v"s, false},
                                    {"\0\1v\0"s + attributes + "x", false},
                                    {"\0\1v\0"s + attributes.substr(1), false}})
    EXPECT_EQ(pg::has_one_column(body), valid);
  EXPECT_EQ(pg::single_column_value("\0\1\0\0\0\2ab"s), "ab");
  for (const auto& body : {"\0\2\0\0\0\1a\0\0\0\1b"s, "\0\1\xff\xff\xff\xff"s, "\0\1\0\0\0\3ab"s, "\0"s})
    EXPECT_EQ(pg::single_column_value(body), std::nullopt);
  struct Case {
    std::string code;
    Outcome outcome;
  };
  for (const auto& c :
       {Case{"25006", Outcome::too_stale}, Case{"72000", Outcome::too_stale}, Case{"53300", Outcome::full},
        Case{"57P03", Outcome::full}, Case{"XX000", Outcome::error}, Case{"08P01", Outcome::error}})
    EXPECT_EQ(pg::outcome_of(c.code), c.outcome) << c.code;
}

TEST(Mysql41, PacketsAreFramedAndIntegersRoundTrip) {
  struct Case {
    std::string in;
    mysql::FrameStatus status;
  };
  for (const auto& c :
       {Case{"\1\0\0"s, mysql::FrameStatus::partial}, Case{"\1\0\0\0"s, mysql::FrameStatus::partial},
        Case{"\1\0\0\0\x0e"s, mysql::FrameStatus::complete},
        Case{"\xff\xff\xff\0"s, mysql::FrameStatus::malformed}}) {
    mysql::Packet packet;
    EXPECT_EQ(mysql::next_packet(c.in, 1000, packet), c.status);
  }
  for (const std::uint64_t number :
       {0ULL, 250ULL, 251ULL, 65535ULL, 65536ULL, 16777215ULL, 16777216ULL, ~0ULL}) {
    std::string out;
    mysql::put_lenenc(out, number);
    mysql::PacketReader in(out);
    EXPECT_EQ(in.lenenc(), number);
    EXPECT_TRUE(in.ok() && in.rest().empty());
  }
  for (const auto& malformed : {""s, "\xfb"s, "\xff"s, "\xfc\1"s, "\xfe\1\1\1"s}) {
    mysql::PacketReader in(malformed);
    in.lenenc();
    EXPECT_FALSE(in.ok());
  }
}

TEST(Mysql41, OkPacketWithSessionStateRoundTripsAndItsPrefixesAreRejected) {
  // OK, 1 row, no insert id, status 0x4002, no warnings, an empty status text, one system variable
  // recovery=on.
  const auto ok = "\0\1\0\2\x40\0\0\0\x0e\0\x0c\x08recovery\2on"s;
  mysql::Ok parsed;
  ASSERT_TRUE(mysql::parse_ok(ok, parsed));
  EXPECT_EQ(parsed.affected_rows, 1U);
  ASSERT_EQ(parsed.variables.size(), 1U);
  EXPECT_EQ(parsed.variables[0].first, "recovery");
  EXPECT_EQ(parsed.variables[0].second, "on");
  EXPECT_EQ(mysql::ok_packet(parsed, 0, true), ok);
  constexpr std::size_t size_without_session_state = 7;  // complete as well: the rest is optional
  for (std::size_t size = 0; size < ok.size(); ++size) {
    if (size == size_without_session_state) continue;
    EXPECT_FALSE(mysql::parse_ok(std::string_view(ok).substr(0, size), parsed)) << size;
  }
}

TEST(Mysql41, ErrorsAreParsedAndClassified) {
  mysql::Error error;
  ASSERT_TRUE(mysql::parse_error("\xff\x0a\5#HY000read only"s, error));
  EXPECT_EQ(error.code, 1290);
  EXPECT_EQ(error.message, "read only");
  EXPECT_FALSE(mysql::parse_error("\xff\x0a"s, error));
  EXPECT_FALSE(mysql::parse_error("\xff\x0a\5#HY"s, error));
  struct Case {
    std::uint16_t code;
    std::string state;
    Outcome outcome;
  };
  for (const auto& c : {Case{1290, "HY000", Outcome::too_stale}, Case{1792, "25006", Outcome::too_stale},
                        Case{1105, "72000", Outcome::too_stale}, Case{1040, "08004", Outcome::full},
                        Case{1243, "HY000", Outcome::not_sent}, Case{1064, "42000", Outcome::error},
                        Case{1053, "08S01", Outcome::error}})
    EXPECT_EQ(mysql::outcome_of({c.code, c.state, ""}), c.outcome) << c.code;
}

TEST(Mysql41, ParametersRoundTripAndTruncatedOnesAreRejectedAtEveryLength) {
  const mysql::Parameter number{0x03, "", false, "\x2a\0\0\0"s};  // LONG
  const mysql::Parameter null{0x06, "", true, ""};                // NULL
  const mysql::Parameter named{0xfd, "c", false, "\4view"s};      // VAR_STRING
  const mysql::Parameter date{0x0c, "", false, "\4\xe4\7\1\2"s};  // DATETIME
  const std::vector<mysql::Parameter> parameters{number, null, date, named};
  // Statement 7 with three placeholders: the fourth parameter is a query attribute.
  const auto packet = mysql::execute_packet(7, 3, parameters);
  mysql::Execute execute;
  ASSERT_TRUE(mysql::parse_execute(packet, true, 3, {}, {}, execute));
  EXPECT_EQ(execute.statement, 7U);
  ASSERT_EQ(execute.parameters.size(), 4U);
  EXPECT_EQ(mysql::text_value(execute.parameters[0]), "42");
  EXPECT_EQ(mysql::text_value(execute.parameters[1]), std::nullopt);
  EXPECT_EQ(execute.parameters[2].value, date.value);
  EXPECT_EQ(execute.parameters[3].name, "c");
  EXPECT_EQ(mysql::text_value(execute.parameters[3]), "view");
  for (std::size_t size = 0; size < packet.size(); ++size)
    EXPECT_FALSE(mysql::parse_execute(std::string_view(packet).substr(0, size), true, 3, {}, {}, execute))
        << size;
  EXPECT_FALSE(mysql::parse_execute(packet + "x", true, 3, {}, {}, execute));
  const auto query = mysql::query_packet({named}, "SELECT 1");
  mysql::Query parsed;
  ASSERT_TRUE(mysql::parse_query(query, true, parsed));
  EXPECT_EQ(parsed.sql, "SELECT 1");
  EXPECT_EQ(parsed.attributes.at(0).name, "c");
  EXPECT_FALSE(mysql::parse_query("\x03\xff"s, true, parsed));
}

TEST(Mysql41, StatementsAreScannedForPlaceholdersAndUnclosedQuotes) {
  struct Case {
    std::string sql;
    std::size_t placeholders;
    bool multiple;
    bool terminated;
  };
  for (const auto& c :
       {Case{"SELECT ?, ?", 2, false, true}, Case{"SELECT '?', \"?\", `?` -- ?\n, ?", 1, false, true},
        Case{"SELECT 'it''s ?', 'a\\'?' /* ? */ # ?", 0, false, true},
        Case{"SELECT 1; /* c=view */ ", 0, false, true}, Case{"SELECT 1; DELETE", 0, true, true},
        Case{"SELECT ';' ", 0, false, true}, Case{"SELECT 'x", 0, false, false},
        Case{"SELECT /* x", 0, false, false}, Case{"SELECT 5--?", 1, false, true},
        Case{"'\\", 0, false, false}}) {
    const auto shape = mysql::scan_statement(c.sql);
    EXPECT_EQ(shape.placeholders, c.placeholders) << c.sql;
    EXPECT_EQ(shape.multiple, c.multiple) << c.sql;
    EXPECT_EQ(shape.terminated, c.terminated) << c.sql;
  }
}

TEST(Discovery, MemberListsAreParsedAndMalformedOnesRejected) {
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
  for (const auto* malformed : {"", "7", "{}", R"({"servers":{}})", R"({"servers":[)"})
    EXPECT_FALSE(wire::parse_members(malformed)) << malformed;
}

TEST(RingBuffer, ContentIsKeptAsItWrapsAndGrowsUpToTheMaximumSize) {
  constexpr std::size_t max_size = 5000;
  wire::RingBuffer buffer(max_size);
  std::string expected;
  for (int i = 0; i < 3000; ++i) {
    // Parts of 0 to 36 bytes; every third time 50 bytes are consumed, so that the buffer fills up slowly.
    const std::string part(static_cast<std::size_t>(i % 37), static_cast<char>('a' + i % 26));
    const bool fits = expected.size() + part.size() <= max_size;
    ASSERT_EQ(buffer.append(part), fits);
    if (fits) expected += part;
    if (i % 3 == 0) {
      const auto count = std::min<std::size_t>(expected.size(), 50);
      buffer.consume(count);
      expected.erase(0, count);
    }
    ASSERT_TRUE(i % 7 != 0 || buffer.view() == expected) << i;
  }
  EXPECT_FALSE(buffer.append(std::string(max_size + 1000, 'x')));
}

TEST(Config, SettingsAreParsedAndInvalidKeysNamed) {
  const auto config =
      app::parse_config(config_json("127.0.0.1:1", list_of(3, {member("a", "127.0.0.1:9", true)})));
  EXPECT_EQ(config.platform.settings.classes.at(3).name, "bid");
  EXPECT_EQ(config.platform.settings.classes.at(3).idempotency, Idempotency::keyed);
  EXPECT_EQ(config.platform.settings.classes.at(0).freshness, Freshness::bounded);
  EXPECT_EQ(config.platform.settings.classes.at(0).staleness_bound, Duration(1'000'000));
  EXPECT_EQ(config.platform.settings.seed, 0x2aU);
  EXPECT_EQ(config.platform.budgets.at(0).tenant, "acme");
  EXPECT_EQ(config.platform.known_hosts.members.size(), 1U);
  EXPECT_FALSE(app::parse_mysql_config(R"({"enabled":false})", config.platform));
  struct Case {
    std::string json;
    std::string key;
  };
  for (const auto& invalid :
       {Case{"[]", "mysql"}, Case{"{}", "enabled"}, Case{R"({"enabled":true})", "listen"},
        Case{R"({"enabled":true,"listen":"x"})", "mysql.listen"},
        Case{R"({"enabled":true,"listen":"127.0.0.1:0","known":1})", "mysql.known"}}) {
    try {
      app::parse_mysql_config(invalid.json, config.platform);
      ADD_FAILURE() << invalid.json;
    } catch (const app::ConfigError& error) {
      EXPECT_NE(std::string(error.what()).find(invalid.key), std::string::npos) << error.what();
    }
  }
}

}  // namespace
}  // namespace cedarring::test
