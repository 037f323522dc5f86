// Clients whose messages together need more memory than the gateway may use. Where CEDARRING_PLAIN_GATEWAY
// names a gateway that was built without sanitizers, that one is started and the bound on its resident memory
// applies.
#include <gtest/gtest.h>

#include <atomic>
#include <cstdlib>
#include <limits>
#include <thread>

#include "broker/message_memory.h"
#include "support/service.h"

namespace cedarring::test {
namespace {

using broker::MessageMemory;

constexpr std::size_t mebibyte = std::size_t{1} << 20U;

class MemoryPressure : public testing::Test {
 protected:
  static constexpr long memory_mb = 32;
  static constexpr long kib_per_mib = 1024;
  /// From here on the gateway closes connections that have pending work.
  static constexpr long most_message_bytes = memory_mb * static_cast<long>(mebibyte) / 2 / 4 * 5;
  MemoryPressure() {
    if (const char* plain = std::getenv("CEDARRING_PLAIN_GATEWAY")) {
      GatewayProcess::program = plain;
      bounds_apply_ = true;
    }
    service_ = std::make_unique<Service>("1024", std::to_string(memory_mb));
  }
  ~MemoryPressure() override {
    service_.reset();
    GatewayProcess::program = sanitized_program_;
  }
  /// Checks the memory now.
  void check_memory() const {
    EXPECT_LE(service_->metric_value("app_message_bytes"), most_message_bytes);
    const long most_resident_kb = bounds_apply_ ? memory_mb * kib_per_mib : std::numeric_limits<long>::max();
    EXPECT_LE(service_->program->resident_kb(), most_resident_kb);
  }
  Service& service() { return *service_; }

 private:
  const std::string sanitized_program_ = GatewayProcess::program;
  bool bounds_apply_ = memory_bounds_apply;
  std::unique_ptr<Service> service_;
};

/// A client that sends all its commands at once and reads their answers meanwhile.
class GreedyClient {
 public:
  GreedyClient(const std::string& address, std::string commands, int answers)
      : client_(address),
        sender_([this, commands = std::move(commands)] { client_.socket.send(commands); }),
        reader_([this, answers] { read(answers); }) {}
  ~GreedyClient() {
    client_.socket.shut_down();
    join();
  }
  void join() {
    if (sender_.joinable()) sender_.join();
    if (reader_.joinable()) reader_.join();
  }
  std::atomic<int> served{0};
  std::atomic<int> refused{0};  // with code 53300: nothing has run
  std::atomic<int> failed{0};

 private:
  void read(int answers) {
    for (int i = 0; i < answers; ++i) {
      const auto answer = client_.read_answer();
      if (answer.types == "TDCZ")
        ++served;
      else if (answer.types == "EZ")
        ++(answer.code == "53300" ? refused : failed);
      else
        return;
    }
  }
  PgClient client_;
  std::thread sender_;
  std::thread reader_;
};

// Guards against statements that wait for a host and take the gateway over its memory: clients send many
// commands with long values at once.
TEST_F(MemoryPressure, StatementsThatWaitForAHostStayWithinTheLimitAndShortOnesAreServed) {
  constexpr int greedy_clients = 25;
  constexpr int commands_of_each = 40;
  constexpr std::size_t value_bytes = 128'000;
  service().primary.behavior = Behavior::hold;
  std::vector<std::unique_ptr<GreedyClient>> clients;
  for (int i = 0; i < greedy_clients; ++i) {
    std::string commands;
    for (int n = 0; n < commands_of_each; ++n) {
      auto sql = statement("g" + std::to_string(i) + "-" + std::to_string(n), "pay", 15'000);
      sql.insert(sql.find("\\x9f") + 4, std::string(value_bytes, 'a'));
      commands += pg_query(sql);
    }
    clients.push_back(std::make_unique<GreedyClient>(service().program->pg(), commands, commands_of_each));
  }
  while (service().metric_value("app_shed{kind=\"pay\"}") == 0 && !HasFailure()) check_memory();
  PgClient usual(service().program->pg());
  for (int i = 0; i < 50; ++i) {
    EXPECT_EQ(usual.query(statement("usual" + std::to_string(i), "history")).types, "TDCZ");
    check_memory();
  }
  service().primary.behavior = Behavior::serve;
  int served = 0;
  for (auto& client : clients) {
    client->join();
    EXPECT_EQ(client->served + client->refused, commands_of_each);
    served += client->served;
    check_memory();
  }
  EXPECT_GT(served, 0);
  EXPECT_EQ(service().metric_value("app_ok{kind=\"pay\"}"), served);
}

// Guards against answers that wait behind an earlier one and take the gateway over its memory: clients send
// many reads behind a command whose host does not answer.
TEST_F(MemoryPressure, AnswersBehindAnEarlierOneStayWithinTheLimit) {
  constexpr int greedy_clients = 60;
  constexpr int reads_of_each = 15;
  constexpr int answer_bytes = 60'000;
  service().primary.behavior = Behavior::hold;
  service().replica.padding_bytes = answer_bytes;
  std::vector<std::unique_ptr<GreedyClient>> clients;
  for (int i = 0; i < greedy_clients; ++i) {
    const auto mark = std::to_string(i);
    std::string commands = pg_query(statement("first" + mark, "pay", 15'000));
    for (int n = 0; n < reads_of_each; ++n)
      commands += pg_query(statement("r" + mark + "-" + std::to_string(n), "history", 15'000));
    clients.push_back(std::make_unique<GreedyClient>(service().program->pg(), commands, 1 + reads_of_each));
  }
  constexpr int answers_beyond_the_limit = most_message_bytes / answer_bytes;
  while (service().replica.answered < answers_beyond_the_limit && !HasFailure()) check_memory();
  service().primary.behavior = Behavior::serve;
  int served = 0;
  for (auto& client : clients) {
    client->join();
    EXPECT_EQ(client->served + client->refused + client->failed, 1 + reads_of_each);
    served += client->served;
    check_memory();
  }
  EXPECT_GE(served, greedy_clients) << "the first command of each at least";
}

TEST(MessageMemory, ChargesAreCountedAndTheLastQuarterIsLeftToShortMessages) {
  const auto used_before = MessageMemory::used();
  const auto limit_before = MessageMemory::limit();
  MessageMemory::set_limit(used_before + 4 * mebibyte);
  {
    MessageMemory::Charge charge;
    charge.set(2 * mebibyte);
    auto moved = std::move(charge);
    EXPECT_EQ(MessageMemory::used(), used_before + 2 * mebibyte);
    EXPECT_TRUE(MessageMemory::available(mebibyte / 2));
    moved.set(3 * mebibyte + used_before);
    EXPECT_FALSE(MessageMemory::available(mebibyte / 2));
    EXPECT_TRUE(MessageMemory::available(100));
    EXPECT_FALSE(MessageMemory::exceeded());
    moved.set(4 * mebibyte + 1);
    EXPECT_FALSE(MessageMemory::available(100));
    EXPECT_TRUE(MessageMemory::exceeded());
  }
  EXPECT_EQ(MessageMemory::used(), used_before);
  MessageMemory::set_limit(limit_before);
}

}  // namespace
}  // namespace cedarring::test
