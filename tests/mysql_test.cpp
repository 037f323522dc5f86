// End-to-end tests of the MySQL listener: the started program, a real client library and raw packets as
// clients, and stand-in hosts that record their requests.
#include <gtest/gtest.h>
#include <mariadb/mysql.h>
#include <signal.h>

#include "support/stand_in.h"

namespace cedarring::test {
namespace {

namespace mysql_codec = wire::mysql;
using Clock = std::chrono::steady_clock;

// Error codes of MySQL, written out here to check those that the gateway sends.
constexpr unsigned unknown_command = 1047;
constexpr unsigned unknown_database = 1049;
constexpr unsigned parse_error = 1064;
constexpr unsigned empty_query = 1065;
constexpr unsigned unknown_error = 1105;  // the request has failed; it may have run
constexpr unsigned no_such_table = 1146;  // sent by the stand-in host with Behavior::error
constexpr unsigned packet_too_large = 1153;
constexpr unsigned wrong_arguments = 1210;
constexpr unsigned not_supported_yet = 1235;
constexpr unsigned unknown_statement = 1243;
constexpr unsigned query_timeout = 3024;
constexpr unsigned server_unavailable = 3168;  // the request has been refused; it has not run

/// The payload of the first packet of an answer with rows: the number of columns.
const std::string one_column = "\1";

/// The program with one group: the primary a and the replica b.
struct Fixture {
  MysqlStandIn a;
  MysqlStandIn b;
  std::unique_ptr<GatewayProcess> program;
  Fixture() {
    a.primary = true;
    const auto known = list_of(1, {member("a", a.address(), true), member("b", b.address(), false)});
    program = std::make_unique<GatewayProcess>(config_json("127.0.0.1:1", list_of(1, {})), mysql_json(known));
  }
  /// The number of requests that both hosts together have received.
  std::size_t total_requests() { return a.count() + b.count(); }
  /// Host a turns writes away; b is the primary now.
  void move_primary_to_b() {
    a.behavior = Behavior::reject_as_stale;
    a.primary = false;
    b.primary = true;
  }
};

/// A connection of the MariaDB client library.
class LibraryClient {
 public:
  explicit LibraryClient(const std::string& address) : mysql_(mysql_init(nullptr)) {
    const auto colon = address.rfind(':');
    const auto port = static_cast<unsigned>(std::atoi(address.c_str() + colon + 1));
    connected = mysql_real_connect(mysql_, "127.0.0.1", "desk", "", "main", port, nullptr, 0) != nullptr;
    EXPECT_TRUE(connected) << mysql_error(mysql_);
  }
  ~LibraryClient() { mysql_close(mysql_); }
  // NOLINTNEXTLINE(google-explicit-constructor): the library functions take a MYSQL*
  operator MYSQL*() { return mysql_; }
  bool connected = false;

 private:
  MYSQL* mysql_;
};

/// A prepared statement of the client library.
class PreparedStatement {
 public:
  PreparedStatement(MYSQL* mysql, const std::string& sql) : statement_(mysql_stmt_init(mysql)) {
    EXPECT_EQ(mysql_stmt_prepare(statement_, sql.c_str(), sql.size()), 0) << mysql_stmt_error(statement_);
  }
  ~PreparedStatement() { mysql_stmt_close(statement_); }
  MYSQL_STMT* get() { return statement_; }
  /// Binds the only parameter to `text`, which has to outlive the executions.
  void bind(std::string& text) {
    length_ = text.size();
    in_ = {};
    in_.buffer_type = MYSQL_TYPE_STRING;
    in_.buffer = text.data();
    in_.buffer_length = length_;
    in_.length = &length_;
    EXPECT_EQ(mysql_stmt_bind_param(statement_, &in_), 0);
  }
  /// Executes the statement and returns the first column of the first row; empty after an error.
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
  /// The error code of the last call; 0 if it succeeded.
  unsigned error() { return mysql_stmt_errno(statement_); }

 private:
  MYSQL_STMT* statement_;
  MYSQL_BIND in_{};
  unsigned long length_ = 0;
};

/// A COM_STMT_EXECUTE of a statement without placeholders, with its request fields in query attributes.
std::string execute_with_attributes(std::uint32_t id,
                                    const std::vector<std::pair<std::string, std::string>>& attributes) {
  std::vector<mysql_codec::Parameter> parameters;
  for (const auto& [name, value] : attributes) {
    mysql_codec::Parameter parameter;
    parameter.type = 0xfd;  // VAR_STRING
    parameter.name = name;
    mysql_codec::put_lenenc_text(parameter.value, value);
    parameters.push_back(parameter);
  }
  return mysql_codec::execute_packet(id, 0, parameters);
}
/// The request fields of a statement, by their names in a query attribute.
std::vector<std::pair<std::string, std::string>> request_attributes(const std::string& id,
                                                                    const std::string& class_name,
                                                                    const std::string& deadline_ms = "5000") {
  return {{"id", id},         {"c", class_name}, {"t", "acme"},
          {"d", deadline_ms}, {"cluster", "1"},  {"k", "key-" + id}};
}

TEST(Mysql, ClientLibraryGetsRowsFromPlainAndPreparedStatements) {
  Fixture fixture;
  LibraryClient client(fixture.program->mysql());
  EXPECT_EQ(mysql_ping(client), 0);
  EXPECT_EQ(mysql_select_db(client, "main"), 0);
  EXPECT_EQ(mysql_query(client, statement("q1", "history").c_str()), 0) << mysql_error(client);
  MYSQL_RES* rows = mysql_store_result(client);
  ASSERT_NE(rows, nullptr);
  EXPECT_EQ(std::string(mysql_fetch_row(rows)[0]).rfind("from ", 0), 0U);
  mysql_free_result(rows);
  PreparedStatement plain(client, statement("e1", "bid"));
  EXPECT_EQ(plain.run(), "from " + fixture.a.address());
  PreparedStatement bound(client, "SELECT ? /* id=e2,c=gate,t=acme,d=5000,cluster=1 */");
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
  EXPECT_EQ(fixture.a.seen(), (std::vector<std::string>{"e1", "e2", "e2", "e2", "e2"}));
}

TEST(Mysql, UnsupportedOrInvalidStatementIsAnsweredWithItsErrorCode) {
  Fixture fixture;
  LibraryClient client(fixture.program->mysql());
  struct Case {
    const char* sql;
    unsigned code;
    const char* state;
  };
  for (const auto& [sql, code, state] :
       {Case{"BEGIN", not_supported_yet, "42000"}, Case{"START TRANSACTION", not_supported_yet, "42000"},
        Case{"COMMIT", not_supported_yet, "42000"}, Case{"SET autocommit=0", not_supported_yet, "42000"},
        Case{"SET @@session.autocommit = OFF", not_supported_yet, "42000"},
        Case{"SELECT 1; SELECT 2", not_supported_yet, "42000"}, Case{"SELECT 'open", parse_error, "42000"},
        Case{"/* nothing */", empty_query, "42000"}, Case{"SELECT 1", wrong_arguments, "HY000"},
        Case{"SELECT 1 /* c=view,t=acme,d=9,cluster=1 */", wrong_arguments, "HY000"},
        Case{"SELECT 1 /* id=w,c=nothing,t=acme,d=9,cluster=1 */", wrong_arguments, "HY000"},
        Case{"SELECT 1 /* id=w,c=view,t=acme,d=9,cluster=9 */", unknown_database, "42000"}}) {
    EXPECT_NE(mysql_query(client, sql), 0) << sql;
    EXPECT_EQ(mysql_errno(client), code) << sql;
    EXPECT_STREQ(mysql_sqlstate(client), state) << sql;
  }
  for (const auto* accepted : {"SET NAMES utf8mb4", "SET autocommit=1", "SET SESSION autocommit = ON"})
    EXPECT_EQ(mysql_query(client, accepted), 0) << accepted;
  PreparedStatement cursor(client, statement("e1", "history"));
  const unsigned long type = CURSOR_TYPE_READ_ONLY;
  mysql_stmt_attr_set(cursor.get(), STMT_ATTR_CURSOR_TYPE, &type);
  EXPECT_EQ(cursor.run(), "");
  EXPECT_EQ(cursor.error(), not_supported_yet);
  EXPECT_EQ(fixture.total_requests(), 0U);
}

TEST(Mysql, HostErrorIsPassedToTheClient) {
  Fixture fixture;
  fixture.a.behavior = Behavior::error;
  LibraryClient client(fixture.program->mysql());
  PreparedStatement prepared(client, statement("e1", "pay"));
  EXPECT_EQ(prepared.run(), "");
  EXPECT_EQ(prepared.error(), no_such_table);
  EXPECT_STREQ(mysql_stmt_sqlstate(prepared.get()), "42S02");
  EXPECT_EQ(fixture.total_requests(), 1U);
}

TEST(Mysql, PrimaryMovesAfterPrepareStatementIsPreparedAgainAndRunsOnce) {
  Fixture fixture;
  MysqlRaw client(fixture.program->mysql());
  const auto id = client.prepare("INSERT INTO records VALUES (1)");
  client.command(execute_with_attributes(id, request_attributes("e1", "pay")));
  EXPECT_EQ(client.read_packet(), one_column);
  for (int i = 0; i < 3; ++i) client.read_packet();  // column definition, row, end
  fixture.move_primary_to_b();
  client.command(execute_with_attributes(id, request_attributes("e2", "pay")));
  EXPECT_EQ(client.read_packet(), one_column);  // the new primary has answered
  EXPECT_EQ(fixture.b.seen(), (std::vector<std::string>{"e2"}));
  EXPECT_EQ(fixture.b.prepared(), 1U);
  const auto seen_by_old_primary = fixture.a.seen();  // it refused the second request without running it
  EXPECT_GE(seen_by_old_primary.size(), 1U);
}

TEST(Mysql, StatementUnknownToTheHostIsPreparedAgain) {
  Fixture fixture;
  MysqlRaw client(fixture.program->mysql());
  const auto id = client.prepare("INSERT INTO records VALUES (1)");
  fixture.a.forget_statements = true;
  client.command(execute_with_attributes(id, request_attributes("e1", "pay")));
  const auto error = client.read_error();
  EXPECT_EQ(error.code, server_unavailable);  // refused, since the request has not run
  EXPECT_EQ(fixture.a.count(), 0U);
  fixture.a.forget_statements = false;
  client.command(execute_with_attributes(id, request_attributes("e2", "pay")));
  EXPECT_EQ(client.read_packet(), one_column);
  EXPECT_EQ(fixture.a.seen(), (std::vector<std::string>{"e2"}));
}

TEST(Mysql, HostResetDuringExecuteOnlyKeyedRequestIsRetried) {
  Fixture fixture;
  fixture.a.behavior = Behavior::reset_once;
  MysqlRaw client(fixture.program->mysql());
  const auto id = client.prepare("INSERT INTO records VALUES (1)");
  client.command(execute_with_attributes(id, request_attributes("e1", "pay")));
  EXPECT_EQ(client.read_error().code, unknown_error);
  EXPECT_EQ(fixture.total_requests(), 1U);
  fixture.a.behavior = Behavior::reset_once;
  // The class "bid" is keyed: the hosts drop a repeated key.
  client.command(execute_with_attributes(id, request_attributes("e2", "bid")));
  EXPECT_EQ(client.read_packet(), one_column);
  EXPECT_EQ(fixture.a.seen(), (std::vector<std::string>{"e1", "e2", "e2"}));
  EXPECT_EQ(fixture.b.count(), 0U);
}

TEST(Mysql, ClientClosesDuringExecuteRequestIsNotRetried) {
  Fixture fixture;
  fixture.a.behavior = Behavior::hang;
  {
    MysqlRaw client(fixture.program->mysql());
    client.command(execute_with_attributes(client.prepare("INSERT INTO records VALUES (1)"),
                                           request_attributes("e1", "bid")));
    ASSERT_TRUE(fixture.a.wait_for(1));
  }
  EXPECT_TRUE(fixture.a.wait_ended(1));  // the gateway closes the connection to the host
  fixture.a.behavior = Behavior::serve;
  MysqlRaw client(fixture.program->mysql());
  client.command(execute_with_attributes(client.prepare("INSERT INTO records VALUES (1)"),
                                         request_attributes("e2", "bid")));
  EXPECT_EQ(client.read_packet(), one_column);
  EXPECT_EQ(fixture.a.seen(), (std::vector<std::string>{"e1", "e2"}));
  EXPECT_EQ(fixture.b.count(), 0U);
}

TEST(Mysql, HostHangsExecuteEndsAtItsDeadline) {
  Fixture fixture;
  fixture.a.behavior = Behavior::hang;
  MysqlRaw client(fixture.program->mysql());
  const auto id = client.prepare("INSERT INTO records VALUES (1)");
  const auto start = Clock::now();
  client.command(execute_with_attributes(id, request_attributes("e1", "pay", "600")));
  EXPECT_EQ(client.read_error().code, query_timeout);
  EXPECT_GE(Clock::now() - start, 550ms);
  EXPECT_LT(Clock::now() - start, 3s);
  EXPECT_EQ(fixture.total_requests(), 1U);
}

// A queued command must not gain time by waiting behind another.
TEST(Mysql, QueuedCommandDeadlineCountsFromItsLastByte) {
  Fixture fixture;
  fixture.a.behavior = Behavior::hang;
  MysqlRaw client(fixture.program->mysql());
  std::string both;
  for (const auto* id : {"e1", "e2"}) {
    std::uint8_t sequence = 0;
    mysql_codec::put_packet(both, sequence, mysql_codec::query_packet({}, statement(id, "pay", 600)));
  }
  client.socket.send(both);
  EXPECT_EQ(client.read_error().code, query_timeout);
  // The second command's deadline has passed with the first one's: it has not run.
  EXPECT_EQ(client.read_error().code, server_unavailable);
  EXPECT_EQ(fixture.total_requests(), 1U);
}

TEST(Mysql, DrainFinishesOpenRequestsAndClosesIdleClients) {
  Fixture fixture;
  fixture.a.behavior = Behavior::hang;
  MysqlRaw busy(fixture.program->mysql());
  MysqlRaw idle(fixture.program->mysql());
  busy.command(execute_with_attributes(busy.prepare("INSERT INTO records VALUES (1)"),
                                       request_attributes("e1", "pay", "2500")));
  ASSERT_TRUE(fixture.a.wait_for(1));
  fixture.program->signal(SIGTERM);
  EXPECT_TRUE(idle.socket.ended());
  EXPECT_EQ(busy.read_error().code, query_timeout);
  EXPECT_EQ(fixture.program->wait_exit(), 0);
  EXPECT_EQ(fixture.total_requests(), 1U);
}

TEST(Mysql, MalformedPacketsAndUnknownStatementsAreAnsweredWithErrors) {
  Fixture fixture;
  MysqlRaw client(fixture.program->mysql());
  client.command(execute_with_attributes(99, request_attributes("e1", "pay")));
  EXPECT_EQ(client.read_error().code, unknown_statement);
  const auto id = client.prepare("SELECT ?");
  client.read_packet();  // the parameter's definition
  client.command(std::string("\x17", 1) + std::string(1, static_cast<char>(id)) + std::string(12, '\0'));
  EXPECT_EQ(client.read_error().code, wrong_arguments);  // its type was never bound
  client.command("\x63");
  EXPECT_EQ(client.read_error().code, unknown_command);
  client.socket.send(std::string("\xff\xff\xff\0", 4));
  EXPECT_EQ(client.read_error().code, packet_too_large);
  EXPECT_TRUE(client.socket.ended());
  EXPECT_EQ(fixture.total_requests(), 0U);
}

/// A packet of a stand-in host's raw answer.
std::string packet(std::uint8_t sequence, const std::string& payload) {
  std::string out;
  mysql_codec::put_packet(out, sequence, payload);
  return out;
}

// A malformed answer must fail its request, and bytes that follow a complete answer must not be taken for the
// next request's answer.
TEST(Mysql, MalformedAnswerFailsAndSurplusAnswerIsDropped) {
  Fixture fixture;
  MysqlRaw client(fixture.program->mysql());
  std::string column;
  for (const auto* text : {"def", "main", "records", "records", "v", "v"})
    mysql_codec::put_lenenc_text(column, text);
  column += std::string("\x0c\x2d\0\0\1\0\0\xfd\0\0\0\0\0", 13);
  const auto partial = packet(1, "\1") + packet(2, column) + packet(3, "\4mine");
  const auto complete = partial + packet(4, mysql_codec::ok_packet({}, 0xfe, true));
  int request = 0;
  for (const auto& malformed :
       {partial + packet(4, mysql_codec::error_packet({1040, "08004", "full"})),
        partial + packet(9, mysql_codec::ok_packet({}, 0xfe, true)), packet(7, "\1")}) {
    fixture.a.answer_once_with(malformed);
    client.command(mysql_codec::query_packet({}, statement("s" + std::to_string(++request), "pay")));
    EXPECT_EQ(client.read_error().code, unknown_error) << request;  // it may have run
    EXPECT_EQ(fixture.total_requests(), static_cast<std::size_t>(request));
  }
  fixture.a.answer_once_with(complete + complete);
  client.socket.send(packet(0, mysql_codec::query_packet({}, statement("a1", "pay"))) +
                     packet(0, mysql_codec::query_packet({}, statement("a2", "pay"))));
  for (const auto& value : {std::string("mine"), "from " + fixture.a.address()}) {
    client.read_packet();
    client.read_packet();
    EXPECT_EQ(client.read_packet().value_or("").substr(1), value);
    client.read_packet();
  }
}

}  // namespace
}  // namespace cedarring::test
