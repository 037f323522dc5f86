// The MySQL front against the started program: a real client library, raw packets, hosts that count.
#include <gtest/gtest.h>
#include <mariadb/mysql.h>
#include <signal.h>

#include "support/stand_in.h"

namespace cedarring::test {
namespace {

namespace my = wire::mysql;
using Clock = std::chrono::steady_clock;

struct Ledger {
  MysqlStandIn a, b;
  std::unique_ptr<GatewayProcess> program;
  Ledger() {
    a.primary = true;
    const auto known = list_of(1, {member("a", a.address(), true), member("b", b.address(), false)});
    program = std::make_unique<GatewayProcess>(config_json("127.0.0.1:1", list_of(1, {})), mysql_json(known));
  }
  std::size_t all() { return a.count() + b.count(); }
  void hand_over() { a.behavior = Behavior::reject_as_stale, a.primary = false, b.primary = true; }
};

/// The client library's connection.
class Library {
 public:
  explicit Library(const std::string& address) : mysql_(mysql_init(nullptr)) {
    const auto colon = address.rfind(':');
    const auto port = static_cast<unsigned>(std::atoi(address.c_str() + colon + 1));
    connected = mysql_real_connect(mysql_, "127.0.0.1", "desk", "", "main", port, nullptr, 0) != nullptr;
    EXPECT_TRUE(connected) << mysql_error(mysql_);
  }
  ~Library() { mysql_close(mysql_); }
  operator MYSQL*() { return mysql_; }  // NOLINT(google-explicit-constructor): as the library's calls take it
  bool connected = false;

 private:
  MYSQL* mysql_;
};

class Prepared {
 public:
  Prepared(MYSQL* mysql, const std::string& sql) : statement_(mysql_stmt_init(mysql)) {
    EXPECT_EQ(mysql_stmt_prepare(statement_, sql.c_str(), sql.size()), 0) << mysql_stmt_error(statement_);
  }
  ~Prepared() { mysql_stmt_close(statement_); }
  MYSQL_STMT* get() { return statement_; }
  void bind(std::string& text) {
    length_ = text.size();
    in_ = {};
    in_.buffer_type = MYSQL_TYPE_STRING;
    in_.buffer = text.data();
    in_.buffer_length = length_;
    in_.length = &length_;
    EXPECT_EQ(mysql_stmt_bind_param(statement_, &in_), 0);
  }
  /// The first column of the first row; empty after an error.
  std::string run() {
    if (mysql_stmt_execute(statement_) != 0) return "";
    std::string value(128 * 1024, '\0');
    unsigned long size = 0;
    MYSQL_BIND out{};
    out.buffer_type = MYSQL_TYPE_STRING;
    out.buffer = value.data();
    out.buffer_length = value.size();
    out.length = &size;
    EXPECT_EQ(mysql_stmt_bind_result(statement_, &out), 0);
    EXPECT_EQ(mysql_stmt_fetch(statement_), 0) << mysql_stmt_error(statement_);
    mysql_stmt_free_result(statement_);
    return value.substr(0, size);
  }
  unsigned error() { return mysql_stmt_errno(statement_); }

 private:
  MYSQL_STMT* statement_;
  MYSQL_BIND in_{};
  unsigned long length_ = 0;
};

/// An EXECUTE without placeholders whose contract is told by query attributes.
std::string execute_with(std::uint32_t id,
                         const std::vector<std::pair<std::string, std::string>>& attributes) {
  std::vector<my::Parameter> all;
  for (const auto& [name, value] : attributes) {
    my::Parameter p;
    p.type = 0xfd;
    p.name = name;
    my::put_lenenc_text(p.value, value);
    all.push_back(p);
  }
  return my::execute_packet(id, 0, all);
}
std::vector<std::pair<std::string, std::string>> contract(const std::string& id, const std::string& name,
                                                          const std::string& d = "5000") {
  return {{"id", id}, {"c", name}, {"t", "acme"}, {"d", d}, {"cluster", "1"}, {"k", "key-" + id}};
}

TEST(Mysql, TheClientLibraryIsServed) {
  Ledger l;
  Library c(l.program->mysql());
  EXPECT_EQ(mysql_ping(c), 0);
  EXPECT_EQ(mysql_select_db(c, "main"), 0);
  EXPECT_EQ(mysql_query(c, statement("q1", "history").c_str()), 0) << mysql_error(c);
  MYSQL_RES* rows = mysql_store_result(c);
  ASSERT_NE(rows, nullptr);
  EXPECT_EQ(std::string(mysql_fetch_row(rows)[0]).rfind("from ", 0), 0U);
  mysql_free_result(rows);
  Prepared plain(c, statement("e1", "bid"));
  EXPECT_EQ(plain.run(), "from " + l.a.address());
  Prepared bound(c, "SELECT ? /* id=e2,c=gate,t=acme,d=5000,cluster=1 */");
  std::string text = "42 MWh";
  bound.bind(text);
  EXPECT_EQ(bound.run(), "42 MWh");
  EXPECT_EQ(bound.run(), "42 MWh");
  EXPECT_EQ(mysql_stmt_send_long_data(bound.get(), 0, "long ", 5), 0);
  EXPECT_EQ(mysql_stmt_send_long_data(bound.get(), 0, "data", 4), 0);
  EXPECT_EQ(bound.run(), "long data");
  EXPECT_EQ(mysql_stmt_send_long_data(bound.get(), 0, "dropped", 7), 0);
  EXPECT_EQ(mysql_stmt_reset(bound.get()), 0);
  EXPECT_EQ(bound.run(), "42 MWh");
  EXPECT_EQ(l.a.seen(), (std::vector<std::string>{"e1", "e2", "e2", "e2", "e2"}));
}

TEST(Mysql, WhatIsNotSupportedGetsAProperError) {
  Ledger l;
  Library c(l.program->mysql());
  struct Case {
    const char* sql;
    unsigned code;
    const char* state;
  };
  for (const auto& [sql, code, state] :
       {Case{"BEGIN", 1235, "42000"}, Case{"START TRANSACTION", 1235, "42000"}, Case{"COMMIT", 1235, "42000"},
        Case{"SET autocommit=0", 1235, "42000"}, Case{"SET @@session.autocommit = OFF", 1235, "42000"},
        Case{"SELECT 1; SELECT 2", 1235, "42000"}, Case{"SELECT 'open", 1064, "42000"},
        Case{"/* nothing */", 1065, "42000"}, Case{"SELECT 1", 1210, "HY000"},
        Case{"SELECT 1 /* c=view,t=acme,d=9,cluster=1 */", 1210, "HY000"},
        Case{"SELECT 1 /* id=w,c=nothing,t=acme,d=9,cluster=1 */", 1210, "HY000"},
        Case{"SELECT 1 /* id=w,c=view,t=acme,d=9,cluster=9 */", 1049, "42000"}}) {
    EXPECT_NE(mysql_query(c, sql), 0) << sql;
    EXPECT_EQ(mysql_errno(c), code) << sql;
    EXPECT_STREQ(mysql_sqlstate(c), state) << sql;
  }
  for (const auto* good : {"SET NAMES utf8mb4", "SET autocommit=1", "SET SESSION autocommit = ON"})
    EXPECT_EQ(mysql_query(c, good), 0) << good;
  Prepared cursor(c, statement("e1", "history"));
  const unsigned long type = CURSOR_TYPE_READ_ONLY;
  mysql_stmt_attr_set(cursor.get(), STMT_ATTR_CURSOR_TYPE, &type);
  EXPECT_EQ(cursor.run(), "");
  EXPECT_EQ(cursor.error(), 1235U);
  EXPECT_EQ(l.all(), 0U);
}

TEST(Mysql, AHostsOwnErrorIsPassedOn) {
  Ledger l;
  l.a.behavior = Behavior::error;
  Library c(l.program->mysql());
  Prepared s(c, statement("e1", "pay"));
  EXPECT_EQ(s.run(), "");
  EXPECT_EQ(s.error(), 1146U);
  EXPECT_STREQ(mysql_stmt_sqlstate(s.get()), "42S02");
  EXPECT_EQ(l.all(), 1U);
}

TEST(Mysql, AHandoverAfterThePrepareIsPreparedAgainAndRunsOnce) {
  Ledger l;
  MysqlRaw c(l.program->mysql());
  const auto id = c.prepare("INSERT INTO records VALUES (1)");
  c.command(execute_with(id, contract("e1", "pay")));
  EXPECT_EQ(c.read_packet(), "\1");
  for (int i = 0; i < 3; ++i) c.read_packet();
  l.hand_over();
  c.command(execute_with(id, contract("e2", "pay")));
  EXPECT_EQ(c.read_packet(), "\1");  // the new primary has answered
  EXPECT_EQ(l.b.seen(), (std::vector<std::string>{"e2"}));
  EXPECT_EQ(l.b.prepared(), 1U);
  const auto old = l.a.seen();  // the old one turned it away, untouched
  EXPECT_GE(old.size(), 1U);
}

TEST(Mysql, AStatementThatAHostForgotIsPreparedAgain) {
  Ledger l;
  MysqlRaw c(l.program->mysql());
  const auto id = c.prepare("INSERT INTO records VALUES (1)");
  l.a.forget_statements = true;
  c.command(execute_with(id, contract("e1", "pay")));
  const auto e = c.read_error();
  EXPECT_EQ(e.code, 3168);  // refused: it has never run
  EXPECT_EQ(l.a.count(), 0U);
  l.a.forget_statements = false;
  c.command(execute_with(id, contract("e2", "pay")));
  EXPECT_EQ(c.read_packet(), "\1");
  EXPECT_EQ(l.a.seen(), (std::vector<std::string>{"e2"}));
}

TEST(Mysql, AResetMidExecuteRepeatsNothingThatMayNotBe) {
  Ledger l;
  l.a.behavior = Behavior::reset_once;
  MysqlRaw c(l.program->mysql());
  const auto id = c.prepare("INSERT INTO records VALUES (1)");
  c.command(execute_with(id, contract("e1", "pay")));
  EXPECT_EQ(c.read_error().code, 1105);
  EXPECT_EQ(l.all(), 1U);
  l.a.behavior = Behavior::reset_once;
  c.command(execute_with(id, contract("e2", "bid")));  // keyed: its ledger set drops a repeat
  EXPECT_EQ(c.read_packet(), "\1");
  EXPECT_EQ(l.a.seen(), (std::vector<std::string>{"e1", "e2", "e2"}));
  EXPECT_EQ(l.b.count(), 0U);
}

TEST(Mysql, AClientThatClosesMidExecuteRepeatsNothing) {
  Ledger l;
  l.a.behavior = Behavior::hang;
  {
    MysqlRaw c(l.program->mysql());
    c.command(execute_with(c.prepare("INSERT INTO records VALUES (1)"), contract("e1", "bid")));
    ASSERT_TRUE(l.a.wait_for(1));
  }
  EXPECT_TRUE(l.a.wait_ended(1));  // its host connection is dropped
  l.a.behavior = Behavior::serve;
  MysqlRaw c(l.program->mysql());
  c.command(execute_with(c.prepare("INSERT INTO records VALUES (1)"), contract("e2", "bid")));
  EXPECT_EQ(c.read_packet(), "\1");
  EXPECT_EQ(l.a.seen(), (std::vector<std::string>{"e1", "e2"}));
  EXPECT_EQ(l.b.count(), 0U);
}

TEST(Mysql, ADeadlineEndsAnExecuteInTime) {
  Ledger l;
  l.a.behavior = Behavior::hang;
  MysqlRaw c(l.program->mysql());
  const auto id = c.prepare("INSERT INTO records VALUES (1)");
  const auto start = Clock::now();
  c.command(execute_with(id, contract("e1", "pay", "600")));
  EXPECT_EQ(c.read_error().code, 3024);
  EXPECT_GE(Clock::now() - start, 550ms);
  EXPECT_LT(Clock::now() - start, 3s);
  EXPECT_EQ(l.all(), 1U);
}

TEST(Mysql, ADeadlineCountsFromTheLastByteNotFromTheTurn) {
  Ledger l;
  l.a.behavior = Behavior::hang;
  MysqlRaw c(l.program->mysql());
  std::string both;
  for (const auto* id : {"e1", "e2"}) {
    std::uint8_t sequence = 0;
    my::put_packet(both, sequence, my::query_packet({}, statement(id, "pay", 600)));
  }
  c.socket.send(both);
  EXPECT_EQ(c.read_error().code, 3024);
  EXPECT_EQ(c.read_error().code, 3168);  // its time was up with the first one's: it never ran
  EXPECT_EQ(l.all(), 1U);
}

TEST(Mysql, ADrainFinishesWhatIsHeld) {
  Ledger l;
  l.a.behavior = Behavior::hang;
  MysqlRaw held(l.program->mysql()), idle(l.program->mysql());
  held.command(execute_with(held.prepare("INSERT INTO records VALUES (1)"), contract("e1", "pay", "2500")));
  ASSERT_TRUE(l.a.wait_for(1));
  l.program->signal(SIGTERM);
  EXPECT_TRUE(idle.socket.ended());
  EXPECT_EQ(held.read_error().code, 3024);
  EXPECT_EQ(l.program->wait_exit(), 0);
  EXPECT_EQ(l.all(), 1U);
}

TEST(Mysql, BrokenFramingAndUnknownStatementsGetAnError) {
  Ledger l;
  MysqlRaw c(l.program->mysql());
  c.command(execute_with(99, contract("e1", "pay")));
  EXPECT_EQ(c.read_error().code, 1243);
  const auto id = c.prepare("SELECT ?");
  c.read_packet();  // the parameter's definition
  c.command(std::string("\x17", 1) + std::string(1, static_cast<char>(id)) + std::string(12, '\0'));
  EXPECT_EQ(c.read_error().code, 1210);  // nothing was ever bound
  c.command("\x63");
  EXPECT_EQ(c.read_error().code, 1047);
  c.socket.send(std::string("\xff\xff\xff\0", 4));
  EXPECT_EQ(c.read_error().code, 1153);
  EXPECT_TRUE(c.socket.ended());
  EXPECT_EQ(l.all(), 0U);
}

/// A packet of a stand-in's raw answer.
std::string packet(std::uint8_t sequence, const std::string& payload) {
  std::string out;
  my::put_packet(out, sequence, payload);
  return out;
}

TEST(Mysql, ASpoiltAnswerIsAFailureAndALeftOverOneNobodys) {
  Ledger l;
  MysqlRaw c(l.program->mysql());
  std::string column;
  for (const auto* text : {"def", "main", "records", "records", "v", "v"}) my::put_lenenc_text(column, text);
  column += std::string("\x0c\x2d\0\0\1\0\0\xfd\0\0\0\0\0", 13);
  const auto begun = packet(1, "\1") + packet(2, column) + packet(3, "\4mine");
  const auto whole = begun + packet(4, my::ok_packet({}, 0xfe, true));
  int i = 0;
  for (const auto& spoilt : {begun + packet(4, my::error_packet({1040, "08004", "full"})),
                             begun + packet(9, my::ok_packet({}, 0xfe, true)), packet(7, "\1")}) {
    l.a.answer_once_with(spoilt);
    c.command(my::query_packet({}, statement("s" + std::to_string(++i), "pay")));
    EXPECT_EQ(c.read_error().code, 1105) << i;  // it may have run
    EXPECT_EQ(l.all(), static_cast<std::size_t>(i));
  }
  l.a.answer_once_with(whole + whole);
  c.socket.send(packet(0, my::query_packet({}, statement("a1", "pay"))) +
                packet(0, my::query_packet({}, statement("a2", "pay"))));
  for (const auto& value : {std::string("mine"), "from " + l.a.address()}) {
    c.read_packet(), c.read_packet();
    EXPECT_EQ(c.read_packet().value_or("").substr(1), value);
    c.read_packet();
  }
}

}  // namespace
}  // namespace cedarring::test
