// Long values over real sockets: rows that are streamed to clients, and statements that wait for memory.
//
// Answers are compared by the types of their PostgreSQL messages: TDCZ is a row description, a row, the
// command completion and ReadyForQuery, so the request was served. The request classes are those of
// config_json().
#include <gtest/gtest.h>
#include <signal.h>

#include <algorithm>
#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

#include "broker/memory_budget.h"
#include "support/service.h"
#include "wire/pg.h"

namespace cedarring::test {
namespace {

using Clock = std::chrono::steady_clock;

/// Bytes of a row before its only value: type, length of the message, number of columns, length of the value.
constexpr std::size_t row_header_size = 1 + 4 + 2 + 4;
const std::string command_complete = PgStandIn::message('C', std::string("SELECT 1") + '\0');
const std::string ready_for_query = PgStandIn::message('Z', "I");

/// A value that contains its own offset every 1000 bytes, so that lost or moved bytes are detected.
std::string long_value(std::size_t size) {
  std::string value(size, 'x');
  for (std::size_t i = 0; i < size; i += 1000)
    value.replace(
        i, std::min<std::size_t>(8, size - i),
        std::to_string(i).substr(0, size - i).append(8, ' ').substr(0, std::min<std::size_t>(8, size - i)));
  return value;
}
/// The row description of PgStandIn::row().
std::string row_description() {
  const auto row = PgStandIn::row("x");
  return row.substr(0, row.find('D', 1));
}

TEST(LongValues, RowHeaderIsValidatedBeforeARowIsStreamed) {
  constexpr std::size_t value_size = 100'000;
  constexpr std::size_t row_size = row_header_size + value_size;
  constexpr std::size_t buffer_size = 65'600;
  constexpr std::size_t max_row_size = 1 << 20;
  const auto row = PgStandIn::row(std::string(value_size, 'x'));
  const auto data_row = row.substr(row.find('D', 1), row_size);
  const auto header = data_row.substr(0, row_header_size);
  EXPECT_EQ(wire::pg::long_row_size(data_row, buffer_size, max_row_size), row_size);
  EXPECT_EQ(wire::pg::long_row_size(header, buffer_size, max_row_size), row_size);
  EXPECT_FALSE(wire::pg::long_row_size(header.substr(0, row_header_size - 1), buffer_size, max_row_size));
  EXPECT_FALSE(wire::pg::long_row_size(data_row, row_size, max_row_size));   // not longer than the buffer
  EXPECT_FALSE(wire::pg::long_row_size(data_row, buffer_size, value_size));  // above the limit for a row
  for (const std::size_t i : {0, 5, 6, 7, 10}) {  // type, columns, the column's length
    auto bad = header;
    bad[i] ^= 1;
    EXPECT_FALSE(wire::pg::long_row_size(bad, buffer_size, max_row_size)) << i;
  }
}

/// Reads a long answer slowly: the gateway closes a client that takes nothing for 10 s.
class SlowReader {
 public:
  SlowReader(const std::string& address, std::size_t answer_bytes)
      : client_(Socket::to(address, receive_buffer_bytes)), remaining_(answer_bytes) {}
  PgClient& client() { return client_; }
  /// Reads `bytes` of the answer.
  bool read(std::size_t bytes) {
    remaining_ -= bytes;
    last_read_ = Clock::now();
    return client_.socket.read(bytes).has_value();
  }
  /// Reads a small part if the last one was read some time ago.
  bool keep_connection() {
    return remaining_ <= receive_buffer_bytes || Clock::now() - last_read_ < keep_interval ||
           read(receive_buffer_bytes);
  }
  /// Reads the rest of the answer.
  bool read_rest() {
    while (remaining_ > 0)
      if (!read(std::min<std::size_t>(remaining_, receive_buffer_bytes))) return false;
    return true;
  }

 private:
  static constexpr int receive_buffer_bytes =
      64 * 1024;  // the kernel cannot take a whole value for the client
  static constexpr auto keep_interval = 3s;
  PgClient client_;
  std::size_t remaining_;
  Clock::time_point last_read_ = Clock::now();
};

TEST(LongValues, ReachManySlowClientsCompleteWithinTheMemoryLimit) {
  Service service;
  // More than the kernel can take for a client: up to 4 MiB to be sent, and the receive buffer.
  const auto value = long_value(std::size_t{7} << 20U);
  PgClient quick(service.program->pg());
  service.primary.answer_once_with(PgStandIn::row(value) + ready_for_query);
  const auto answer = quick.query(statement("a", "pay"));
  EXPECT_EQ(answer.types, "TDCZ");
  EXPECT_EQ(answer.value, value);
  const std::size_t answer_bytes = row_description().size() + row_header_size + value.size() +
                                   command_complete.size() + ready_for_query.size();
  constexpr std::size_t first_part_size = 100;
  std::vector<std::unique_ptr<SlowReader>> slow;
  for (int i = 0; i < 40; ++i) {
    slow.push_back(std::make_unique<SlowReader>(service.program->pg(), answer_bytes));
    service.primary.answer_once_with(PgStandIn::row(value) + ready_for_query);
    slow.back()->client().socket.send(pg_query(statement("b" + std::to_string(i), "pay")));
    ASSERT_TRUE(slow.back()->read(first_part_size));  // and little more until all clients have begun
    for (auto& reader : slow) ASSERT_TRUE(reader->keep_connection());
  }
  EXPECT_EQ(service.metric_value("app_active"), 40);
  EXPECT_LT(service.program->resident_kb(), memory_bounds_apply ? 32 * 1024 : 1 << 30);
  for (std::size_t i = 0; i < slow.size(); ++i) {
    ASSERT_TRUE(slow[i]->read_rest());
    for (auto& reader : slow) ASSERT_TRUE(reader->keep_connection());
    EXPECT_EQ(slow[i]->client().query(statement("c" + std::to_string(i), "pay")).types, "TDCZ");
  }
  EXPECT_EQ(service.metric_value("app_active"), 0);
  // The quick one, and a long and a short one of each slow client.
  EXPECT_EQ(service.metric_value("app_ok{kind=\"pay\"}"), 81);
}

// Guards against a client that is closed inside a value although it reads all the time: the kernel holds so
// much of the value that the gateway can write nothing for more than 10 s.
TEST(LongValues, ClientThatReadsSlowlyButSteadilyGetsTheWholeValue) {
  Service service;
  const auto value = long_value(std::size_t{7} << 20U);
  const std::size_t answer_bytes = row_description().size() + row_header_size + value.size() +
                                   command_complete.size() + ready_for_query.size();
  SlowReader reader(service.program->pg(), answer_bytes);
  service.primary.answer_once_with(PgStandIn::row(value) + ready_for_query);
  reader.client().socket.send(pg_query(statement("a", "pay")));
  constexpr std::size_t part_size = 16 * 1024;
  for (const auto start = Clock::now(); Clock::now() - start < 12s; std::this_thread::sleep_for(500ms))
    ASSERT_TRUE(reader.read(part_size));
  EXPECT_TRUE(reader.read_rest());
  EXPECT_EQ(reader.client().query(statement("b", "pay")).types, "TDCZ");
}

TEST(LongValues, TruncatedAnswerClosesTheClientAndIsNotRetried) {
  Service service;
  PgClient client(service.program->pg());
  service.primary.close_after_raw = true;
  const auto row = PgStandIn::row(long_value(1'000'000));
  service.primary.answer_once_with(row.substr(0, row.size() / 2));
  const auto answer =
      client.query(statement("a", "gate"));  // safe to retry, but a part of the answer has been forwarded
  EXPECT_EQ(answer.types, "T");
  EXPECT_TRUE(client.socket.ended());
  EXPECT_EQ(service.primary.count(), 1U);
  EXPECT_EQ(service.metric_value("app_errors{kind=\"gate\"}"), 1);
  service.primary.close_after_raw = false;
  PgClient next(service.program->pg());
  EXPECT_EQ(next.query(statement("b", "gate")).types, "TDCZ");
}

// Guards against answers that are lost with the connection when an earlier value on it breaks off.
TEST(LongValues, CommandsBehindATruncatedAnswerAreAnswered) {
  constexpr int commands_behind = 4;
  Service service;
  PgClient client(service.program->pg());
  service.replica.close_after_raw = true;
  const auto row = PgStandIn::row(long_value(1'000'000));
  service.replica.answer_once_with(row.substr(0, row.size() / 2));
  std::string commands = pg_query(statement("long", "history"));
  for (int i = 0; i < commands_behind; ++i)
    commands += pg_query(statement("behind" + std::to_string(i), "gate"));
  client.socket.send(commands);
  const auto truncated = client.read_answer();
  EXPECT_EQ(truncated.types, "TDEZ")
      << "the error in place of the completion tells that the value is incomplete";
  EXPECT_EQ(truncated.code, "58000");
  for (int i = 0; i < commands_behind; ++i) EXPECT_EQ(client.read_answer().types, "TDCZ") << i;
  EXPECT_EQ(client.query(statement("next", "gate")).types, "TDCZ");
  EXPECT_EQ(service.metric_value("app_errors{kind=\"history\"}"), 1);
  EXPECT_EQ(service.metric_value("app_ok{kind=\"gate\"}"), commands_behind + 1);
}

// Guards against a value whose rest is filled up beyond the client's output buffer: the client reads nothing
// until it breaks off, and its rest is longer than what the kernel takes.
TEST(LongValues, LongTruncatedAnswerIsFilledUpAsItsClientReads) {
  Service service;
  PgClient client(service.program->pg());
  const auto value = long_value(std::size_t{8} << 20U);
  constexpr std::size_t sent_bytes = 100'000;
  service.primary.close_after_raw = true;
  service.primary.answer_once_with(PgStandIn::row(value).substr(0, sent_bytes));
  const std::string empty_query = pg_query("");
  client.socket.send(pg_query(statement("long", "gate")) + empty_query);
  while (service.metric_value("app_errors{kind=\"gate\"}") == 0) std::this_thread::yield();
  const auto answer = client.read_answer();
  EXPECT_EQ(answer.types, "TDEZ");
  EXPECT_EQ(answer.value.size(), value.size());
  EXPECT_EQ(client.read_answer().types, "IZ");
}

TEST(LongValues, PipelinedAnswersStayInOrder) {
  Service service;
  PgClient client(service.program->pg());
  const auto value = long_value(300'000);
  service.replica.behavior = Behavior::hold;
  service.primary.behavior = Behavior::hold;
  client.socket.send(pg_query(statement("a", "pay")));
  ASSERT_TRUE(service.primary.wait_for(1));
  service.primary.answer_once_with(PgStandIn::row(value) + ready_for_query);
  // The new behavior released the first request; the second gets the long answer while the answer to the
  // first may still be in transit.
  client.socket.send(pg_query(statement("b", "pay")));
  EXPECT_EQ(client.read_answer().value, "from " + service.primary.address());
  EXPECT_EQ(client.read_answer().value, value);
}

TEST(MemoryBudget, ReservationsAreGrantedInOrderAndNeverAboveTheTotal) {
  std::uint64_t random_state = 7;
  const auto draw = [&](std::size_t bound) {
    return static_cast<std::size_t>((random_state = random_state * 6364136223846793005ULL + 1) >> 33U) %
           bound;
  };
  constexpr std::size_t total = 1000;
  int freed = 0;
  auto budget = std::make_shared<broker::MemoryBudget>(total, [&] { ++freed; });
  std::vector<char> owners(20);  // the address of each identifies an owner
  std::map<const void*, broker::MemoryBudget::Reservation> reservations;
  std::map<const void*, std::size_t> requested_bytes;
  std::vector<const void*> waiting;
  for (int i = 0; i < 20'000; ++i) {
    const void* owner = &owners[draw(owners.size())];
    if (reservations.count(owner) > 0) {
      reservations.erase(owner);
    } else if (requested_bytes.count(owner) > 0 && draw(8) == 0) {
      budget->stop_waiting(owner);
      requested_bytes.erase(owner);
      waiting.erase(std::find(waiting.begin(), waiting.end(), owner));
    } else {
      const auto bytes = requested_bytes.count(owner) > 0 ? requested_bytes[owner] : 1 + draw(1200);
      broker::MemoryBudget::Reservation reservation;
      if (budget->try_reserve(owner, bytes, reservation)) {
        if (!waiting.empty()) {
          ASSERT_EQ(waiting.front(), owner);  // no waiter is overtaken
          waiting.erase(waiting.begin());
        }
        requested_bytes.erase(owner);
        reservations[owner] = std::move(reservation);
      } else if (requested_bytes.emplace(owner, bytes).second) {
        waiting.push_back(owner);
      }
    }
    std::size_t sum = 0;
    for (const auto& [key, held] : reservations) sum += held.bytes();
    ASSERT_EQ(budget->used(), sum);
    ASSERT_TRUE(sum <= total || reservations.size() == 1);  // a larger one is granted alone
    ASSERT_EQ(budget->waiting(), waiting.size());
    // If nothing is reserved, the first waiter may always proceed.
    ASSERT_TRUE(!reservations.empty() || waiting.empty() || budget->next_waiter() == waiting.front());
  }
  EXPECT_GT(freed, 0);
  budget->close();
}

// Guards against a waiter that sleeps on although the total has grown, as it does at the end of an upgrade.
TEST(MemoryBudget, WaitersAreNotifiedWhenTheTotalGrows) {
  int notified = 0;
  const auto budget = std::make_shared<broker::MemoryBudget>(100, [&] { ++notified; });
  const char holder = 0;
  const char waiter = 0;
  broker::MemoryBudget::Reservation held;
  broker::MemoryBudget::Reservation wanted;
  ASSERT_TRUE(budget->try_reserve(&holder, 100, held));
  budget->set_total(150);
  EXPECT_EQ(notified, 0) << "nobody waits";
  ASSERT_FALSE(budget->try_reserve(&waiter, 100, wanted));
  budget->set_total(200);
  EXPECT_EQ(notified, 1);
  EXPECT_TRUE(budget->try_reserve(&waiter, 100, wanted));
}

/// A write whose value is `extra_bytes` longer than that of statement().
std::string long_statement(const std::string& id, std::size_t extra_bytes,
                           const std::string& contract = "pay") {
  const auto base = statement(id, contract, 9000);
  const auto at = base.find("\\x9f");
  return base.substr(0, at + 4) + std::string(extra_bytes, 'a') + base.substr(at + 4);
}

/// Clients that have each sent the beginning of a long command, and go on slowly until finish(): the gateway
/// closes a client of whose command no byte arrives for 2.5 s.
class SlowWriters {
 public:
  SlowWriters(const std::string& address, const std::vector<std::string>& queries) : queries_(queries) {
    trickle_ = std::thread([this] { send_slowly(); });
    for (std::size_t i = 0; i < queries.size(); ++i) {
      auto client = std::make_unique<PgClient>(address);
      client->socket.send(std::string_view(queries[i]).substr(0, first_part_size));
      const std::lock_guard lock(mutex_);
      clients_.push_back(std::move(client));
      sent_.push_back(first_part_size);
    }
  }
  ~SlowWriters() { stop(); }
  /// Completes all commands at the same time; returns how many are served.
  int finish() {
    stop();
    std::vector<std::thread> writers;
    std::atomic<int> served{0};
    for (std::size_t i = 0; i < clients_.size(); ++i)
      writers.emplace_back([&, i] {
        clients_[i]->socket.send(std::string_view(queries_[i]).substr(sent_[i]));
        served += clients_[i]->read_answer().types == "TDCZ" ? 1 : 0;
      });
    for (auto& writer : writers) writer.join();
    return served;
  }

 private:
  static constexpr std::size_t first_part_size = 100;
  static constexpr auto interval = 500ms;
  void send_slowly() {
    std::unique_lock lock(mutex_);
    while (!stopped_.wait_for(lock, interval, [this] { return stopping_; }))
      for (std::size_t i = 0; i < clients_.size(); ++i)
        clients_[i]->socket.send(std::string_view(queries_[i]).substr(sent_[i]++, 1));
  }
  void stop() {
    {
      const std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    stopped_.notify_all();
    if (trickle_.joinable()) trickle_.join();
  }
  const std::vector<std::string>& queries_;
  std::mutex mutex_;
  std::condition_variable stopped_;
  bool stopping_ = false;
  std::vector<std::unique_ptr<PgClient>> clients_;
  std::vector<std::size_t> sent_;  // bytes of each query
  std::thread trickle_;
};

TEST(LongValues, ManyLongStatementsReachTheHostCompleteWithinTheMemoryLimit) {
  Service service;
  PgClient client(service.program->pg());
  EXPECT_EQ(client.query(long_statement("whole", std::size_t{4} << 20U)).types, "TDCZ");
  EXPECT_EQ(service.primary.seen(), std::vector<std::string>{"whole"});
  EXPECT_EQ(service.primary.longest_statement(), long_statement("whole", std::size_t{4} << 20U).size());
  // All clients begin a long statement before any completes it; a short one is served meanwhile.
  std::vector<std::string> queries;
  for (int i = 0; i < 40; ++i)
    queries.push_back(pg_query(long_statement("m" + std::to_string(i), std::size_t{4} << 20U)));
  SlowWriters many(service.program->pg(), queries);
  EXPECT_EQ(client.query(statement("short", "pay")).types, "TDCZ");
  EXPECT_LT(service.program->resident_kb(), memory_bounds_apply ? 96 * 1024 : 1 << 30);
  const int served = many.finish();
  EXPECT_EQ(served, 40);
  EXPECT_EQ(service.primary.count(), 42U);  // with `whole` and `short`
  EXPECT_EQ(service.metric_value("app_ok{kind=\"pay\"}"), 42);
  EXPECT_EQ(service.metric_value("app_tries{kind=\"pay\"}"), 42);
}

TEST(LongValues, RetriedStatementIsSentCompleteAndAnOversizedOneIsRejectedAtOnce) {
  Service service;
  PgClient client(service.program->pg());
  service.primary.behavior = Behavior::reset_once;
  EXPECT_EQ(client.query(long_statement("a", 1'000'000, "bid")).types, "TDCZ");
  EXPECT_EQ(service.primary.seen(), (std::vector<std::string>{"a", "a"}));
  client.socket.send(std::string("Q\x7f\xff\xff\xff", 5));  // a query of 2 GiB
  EXPECT_EQ(client.read_answer().code, "08P01");
  PgClient leaving(service.program->pg());  // resets in the middle of a statement: the host never sees it
  leaving.socket.send(pg_query(long_statement("b", 1'000'000)).substr(0, 500'000));
  leaving.socket.reset();
  PgClient next(service.program->pg());
  EXPECT_EQ(next.query(long_statement("c", std::size_t{8} << 20U)).types, "TDCZ");
  EXPECT_EQ(service.primary.count(), 3U);
}

/// A service whose memory for long statements, 8 MiB, is filled by statements that the primary holds.
class LongStatements : public testing::Test {
 protected:
  static constexpr std::size_t statement_bytes = 2'000'000;
  static constexpr int statements_that_fit = 4;
  LongStatements() { service_.primary.behavior = Behavior::hold; }
  /// Waits until this many long statements wait for memory.
  void wait_for_waiting(int statements) const {
    while (service_.metric_value("app_statements_waiting") != statements) std::this_thread::yield();
  }
  /// Lets the primary answer the held statements while the gateway is suspended, so that the gateway finds
  /// all answers in one turn of its event loop.
  void answer_at_once(int statements) {
    service_.program->suspend();
    service_.primary.behavior = Behavior::serve;
    while (service_.primary.answered < statements) std::this_thread::yield();
    service_.program->signal(SIGCONT);
  }
  Service service_{"1024", "32"};
};

/// Sends bytes from a thread of its own, since the gateway may stop reading them.
class BackgroundSender {
 public:
  BackgroundSender(Socket& socket, std::string bytes)
      : socket_(socket), thread_([this, bytes = std::move(bytes)] { socket_.send(bytes); }) {}
  ~BackgroundSender() {
    socket_.shut_down();  // wakes the thread if it still sends
    thread_.join();
  }

 private:
  Socket& socket_;
  std::thread thread_;
};

// Guards against a statement that has waited for memory and is never read on, whose memory then stays
// reserved: answers to earlier commands of its client arrive together, and the second one lets it have the
// memory.
TEST_F(LongStatements, StatementThatGetsMemoryWithAnAnswerToItsOwnClientIsReadOn) {
  PgClient client(service_.program->pg());
  std::string queries;
  for (int i = 0; i <= statements_that_fit; ++i)
    queries += pg_query(long_statement("a" + std::to_string(i), statement_bytes));
  const BackgroundSender sender(client.socket, queries);
  ASSERT_TRUE(service_.primary.wait_for(statements_that_fit));
  wait_for_waiting(1);
  answer_at_once(statements_that_fit);
  for (int i = 0; i <= statements_that_fit; ++i) ASSERT_EQ(client.read_answer().types, "TDCZ") << i;
  EXPECT_EQ(service_.metric_value("app_statements_waiting"), 0);
  EXPECT_EQ(service_.metric_value("app_statement_bytes"), 0);
}

/// A client that has begun a statement and thereby holds all memory for long statements, until it leaves.
class MemoryHolder {
 public:
  explicit MemoryHolder(const Service& service) : client_(service.program->pg()) {
    client_.socket.send(pg_query(long_statement("holder", held_bytes)).substr(0, first_part_size));
    while (service.metric_value("app_statement_bytes") == 0) std::this_thread::yield();
  }
  void leave() { client_.socket.reset(); }

 private:
  static constexpr std::size_t held_bytes = 8'300'000;
  static constexpr std::size_t first_part_size = 100;
  PgClient client_;
};

// Guards against a final answer that comes after its time because the statement, whole in the socket, waits
// for memory that others hold.
TEST_F(LongStatements, StatementThatWaitsForMemoryIsAnsweredInItsTime) {
  constexpr std::size_t value_bytes = 300'000;
  constexpr auto deadline = 1000ms;
  constexpr auto lost_after = deadline + 500ms;
  service_.primary.behavior = Behavior::serve;
  MemoryHolder holder(service_);
  PgClient client(service_.program->pg());
  const auto start = Clock::now();
  client.socket.send(pg_query(replaced(long_statement("waits", value_bytes), "d=9000", "d=1000")));
  EXPECT_FALSE(client.read_answer().types.empty());
  EXPECT_LT(Clock::now() - start, lost_after);
}

// Guards against a statement that is sent to a host although its client left while the statement waited for
// memory: the close may lie behind more bytes than the socket takes, or be in sight while nothing is read.
TEST_F(LongStatements, StatementOfAClientThatLeavesWhileItWaitsForMemoryIsNotSent) {
  constexpr std::size_t value_bytes = 300'000;
  constexpr std::size_t part_bytes = 50'000;
  constexpr auto notice_time = 300ms;
  service_.primary.behavior = Behavior::serve;
  PgClient next(service_.program->pg());
  EXPECT_EQ(next.query(statement("first", "pay")).types, "TDCZ");  // leaves an idle connection to the host
  MemoryHolder holder(service_);
  PgClient whole(service_.program->pg());
  whole.socket.send(pg_query(long_statement("whole", value_bytes)));
  PgClient part(service_.program->pg());
  part.socket.send(pg_query(long_statement("part", value_bytes)).substr(0, part_bytes));
  wait_for_waiting(2);
  for (auto* leaving : {&whole, &part}) leaving->socket.shut_down();
  std::this_thread::sleep_for(notice_time);
  EXPECT_EQ(service_.metric_value("app_statements_waiting"), 1) << "the close of the second one is in sight";
  holder.leave();
  EXPECT_EQ(next.query(long_statement("next", statement_bytes)).types, "TDCZ");
  EXPECT_EQ(service_.primary.seen(), (std::vector<std::string>{"first", "next"}));
}

// Guards against a client that cannot take its turn for memory and keeps all others waiting: behind its hung
// request it has as many bytes of answers queued as it may have.
TEST_F(LongStatements, ClientThatCannotTakeItsTurnForMemoryLetsTheNextOneHaveIt) {
  constexpr int queued_answers = 4;
  constexpr int queued_answer_bytes = 60'000;
  MemoryHolder holder(service_);
  service_.primary.behavior = Behavior::hang;
  service_.replica.behavior = Behavior::hold;
  service_.replica.padding_bytes = queued_answer_bytes;
  std::string queries = pg_query(statement("hung", "gate", 9000));
  for (int i = 0; i < queued_answers; ++i)
    queries += pg_query(statement("queued" + std::to_string(i), "history", 9000));
  PgClient blocked(service_.program->pg());
  const BackgroundSender blocked_sender(blocked.socket,
                                        queries + pg_query(long_statement("blocked", statement_bytes)));
  ASSERT_TRUE(service_.primary.wait_for(1));
  ASSERT_TRUE(service_.replica.wait_for(queued_answers));
  wait_for_waiting(1);
  service_.primary.behavior = Behavior::serve;  // the hung request stays so
  PgClient next(service_.program->pg());
  const BackgroundSender next_sender(next.socket, pg_query(long_statement("next", statement_bytes)));
  wait_for_waiting(2);
  service_.replica.behavior = Behavior::serve;
  while (service_.metric_value("app_ok{kind=\"history\"}") < queued_answers) std::this_thread::yield();
  holder.leave();
  EXPECT_EQ(next.read_answer().types, "TDCZ");
  EXPECT_EQ(service_.primary.seen(), (std::vector<std::string>{"hung", "next"}));
}

}  // namespace
}  // namespace cedarring::test
