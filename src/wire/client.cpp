#include "wire/client.h"

#include <algorithm>
#include <cerrno>
#include <system_error>

namespace cedarring::wire {
namespace {

// Time limits in seconds.
// A connection that sends nothing complete has to be closed within 3 s of connecting.
constexpr double command_timeout_s = 2.5;
constexpr double unread_answer_timeout_s = 10;  // of a client that does not read its answer
constexpr double linger_timeout_s = 1;
// Usual clients send their startup message right after connecting and the first command soon after. A new
// client may be evicted after min_silent_stay_s without a byte, or min_first_command_stay_s without a
// command.
constexpr double min_silent_stay_s = 0.05;
constexpr double min_first_command_stay_s = 1;
/// For the first command of a client that connected just before the listener was closed.
constexpr double drain_first_command_s = 0.25;
/// Period of transferring idle clients to the succeeding process: not noticeable next to a request's latency.
constexpr double transfer_interval_s = 0.005;
/// Well under the shortest time that an idle client may stay.
constexpr double sweep_interval_s = 0.05;
constexpr double accept_pause_s = 0.05;  // while out of descriptors or memory

/// Bytes for long commands until set_memory_budget() is called.
constexpr std::size_t initial_memory_budget = std::size_t{8} << 20U;
/// Bytes of a long answer that may be buffered for a client that has not read them yet.
constexpr std::size_t answer_window = 64 * 1024;
constexpr std::size_t max_queued_answers = 256;          // of one client with pipelining
constexpr std::size_t max_arrivals = 64;                 // arrival times kept for one client
constexpr std::size_t max_discarded_bytes = 256 * 1024;  // input of a lingering client
/// Commands of one client that are processed before the others have their turn: a client that sends commands
/// at full speed must not keep the others waiting.
constexpr int max_commands_per_turn = 16;
constexpr std::size_t max_lingering = 24;     // clients at the same time
constexpr std::size_t message_overhead = 16;  // bytes that a command may have beside its message
constexpr int accepts_per_event = 64;
constexpr int accept_rounds_at_drain = 16;  // each of accepts_per_event

/// The answer in place of one that has to wait for an earlier one and finds no memory.
broker::FinalAnswer unkept_answer() {
  broker::FinalAnswer answer;
  answer.status = broker::AnswerStatus::failed;
  answer.message = "out of memory for an answer behind another one; the request may have run";
  return answer;
}

}  // namespace

std::string refusal_text(const gates::Verdict& verdict) {
  if (verdict.admitted) return "refused, nothing has run: try again later";
  return std::string("refused by ") + gates::name_of(verdict.decided_by) + " (" +
         gates::name_of(verdict.reason) + "), nothing has run: try again later";
}

Client::Client(ev::loop_ref loop, Fd fd, ClientSet& owner, std::size_t max_message)
    : Connection(loop, std::move(fd), false, max_message + message_overhead, 2 * max_message),
      owner_(owner),
      waiting_since_(loop.now()) {}

void Client::reply(std::string bytes) {
  queued_answer_bytes_ += bytes.size();
  Slot slot;
  slot.output = std::move(bytes);
  slots_.push_back(std::move(slot));
  flush_answers();
}

/// Writes the answers that no earlier command delays. An answer that does not fit the output buffer waits
/// until the client has read what precedes it.
void Client::flush_answers() {
  write_answers();
  count_answer_memory();
}

void Client::count_answer_memory() {
  answer_memory_.set(queued_answer_bytes_ + slots_.size() * sizeof(Slot));
}

void Client::write_answers() {
  while (!slots_.empty() && !slots_.front().pending) {
    if (!write_complete(slots_.front())) return;
    slots_.pop_front();
  }
  if (final_reply_ && slots_.empty() && !lingering_) start_lingering();
  // A streamed answer is first in the queue now: send what has been received of it, then request the rest.
  if (slots_.empty() || !slots_.front().streaming || slots_.front().output.empty()) return;
  if (!write_output(slots_.front())) return;
  if (out_.empty()) owner_.broker().resume_answer(slots_.front().request);
}

/// Writes what is left of a complete answer; false if a part has to wait or the client has been closed.
bool Client::write_complete(Slot& slot) {
  if (!write_output(slot)) return false;
  while (slot.filler_bytes > 0) {
    if (out_.size() >= answer_window) return false;
    static const std::string zero_bytes(answer_window, '\0');
    const auto part = std::string_view(zero_bytes).substr(0, slot.filler_bytes);
    if (!write(part)) return false;
    slot.filler_bytes -= part.size();
  }
  slot.output = std::exchange(slot.error, {});
  return write_output(slot);
}

/// Writes the queued bytes of the first answer; false if they have to wait or the client has been closed.
bool Client::write_output(Slot& slot) {
  if (slot.output.empty()) return true;
  if (!write(slot.output)) {
    if (out_.empty()) close_and_cancel();
    return false;
  }
  queued_answer_bytes_ -= slot.output.size();
  slot.output.clear();
  return true;
}

bool Client::on_answer_part(RequestId request, std::string_view bytes) {
  const auto slot = find_slot(request);
  if (slot == slots_.end()) return true;
  if (!std::exchange(slot->streaming, true)) waiting_since_ = loop_.now();
  slot->missing_bytes = missing_bytes_after(slot->missing_bytes, bytes);
  // At most one part exceeds the answer window: the host connection then waits for resume_answer().
  if (slot != slots_.begin() || !slot->output.empty() || !write(bytes)) {
    slot->output += bytes;
    queued_answer_bytes_ += bytes.size();
    count_answer_memory();
    return false;
  }
  return out_.size() < answer_window;
}

/// Ends a streamed answer whose rest will not follow. The client can tell that the value is incomplete: an
/// error takes the place of the command's completion. The message that has been begun is filled up before
/// it, so that the answers to the client's other commands can follow.
void Client::end_truncated(Slot& slot, broker::FinalAnswer answer) {
  slot.filler_bytes = slot.missing_bytes;
  put_answer(std::move(answer), slot.error);
  queued_answer_bytes_ += slot.error.size();
}

/// Whether the client has sent another command, or a part of one, than the first one that is not answered.
bool Client::has_other_commands() const {
  return slots_.size() > 1 || reading_long_command() || has_pending_input();
}

void Client::reply_and_close(std::string bytes) {
  final_reply_ = true;
  reply(std::move(bytes));
}

void Client::start_lingering() {
  lingering_ = true;
  waiting_since_ = loop_.now();
  in_.clear();
  if (out_.empty()) shut_down_writing();
  owner_.on_lingering(this);
}

void Client::on_input() {
  if (!lingering_) {
    record_arrival();
    return process_received_commands();
  }
  discarded_bytes_ += in_.size();
  in_.clear();
  if (discarded_bytes_ > max_discarded_bytes) close_and_cancel();
}

const char* name_of(TimeLimit limit) {
  switch (limit) {
    case TimeLimit::none:
      return "none";
    case TimeLimit::linger:
      return "linger";
    case TimeLimit::first_command_at_drain:
      return "first_command_at_drain";
    case TimeLimit::unread_answer:
      return "unread_answer";
    case TimeLimit::command:
      return "command";
  }
  return "unknown";
}

TimeLimit Client::exceeded_limit(ev::tstamp now) {
  const auto waited = now - waiting_since_;
  const auto check = [&](TimeLimit limit, double allowed_s) {
    return waited > allowed_s ? limit : TimeLimit::none;
  };
  if (lingering_) return check(TimeLimit::linger, linger_timeout_s);
  if (draining_ && !command_received_) return check(TimeLimit::first_command_at_drain, drain_first_command_s);
  const bool sends_answer =
      slots_.empty() ? !reading_paused() : slots_.front().streaming || !slots_.front().pending;
  if (sends_answer && !out_.empty()) {
    // A long answer may be read slowly: each byte that the client takes restarts the time limit.
    const auto received = bytes_received_by_peer();
    if (std::exchange(last_bytes_received_by_peer_, received) != received) {
      waiting_since_ = now;
      return TimeLimit::none;
    }
    return check(TimeLimit::unread_answer, unread_answer_timeout_s);
  }
  // The client waits for a host or for memory.
  if (!slots_.empty() || reading_paused()) return TimeLimit::none;
  if (command_received_ && !partial_command_) return TimeLimit::none;
  return check(TimeLimit::command, command_timeout_s);
}

bool Client::evictable(ev::tstamp now) const {
  if (command_received_) return idle();
  return nothing_pending() &&
         now - waiting_since_ > (nothing_received() ? min_silent_stay_s : min_first_command_stay_s);
}

bool Client::reserve_memory(std::size_t bytes, broker::MemoryBudget::Reservation& out) {
  const bool reserved = owner_.memory_budget().try_reserve(this, bytes, out);
  if (reserved && reading_paused())
    waiting_since_ = loop_.now();  // the time spent waiting for memory does not count against the client
  set_reading_paused(!reserved);
  return reserved;
}

void Client::on_command_progress() {
  waiting_since_ = loop_.now();
  (void)arrival_time();  // drops entries for input that has been taken
}

void Client::on_memory_available() {
  // A client that cannot process its command now leaves the queue, so that the next one gets its turn. It
  // asks again when it can.
  if (!can_process_command()) return owner_.memory_budget().stop_waiting(this);
  process_received_commands();
}

void Client::close_and_cancel() {
  owner_.memory_budget().stop_waiting(this);
  if (!closed()) close();
  for (const auto& slot : std::exchange(slots_, {}))
    if (slot.pending) owner_.broker().client_left(slot.request);
  owner_.remove(this);
}

void Client::on_end(int) { close_and_cancel(); }

void Client::on_sent() {
  if (lingering_) return shut_down_writing();
  // An answer, or a part of a streamed one, has been waiting for room in the output buffer.
  if (!slots_.empty() && (!slots_.front().pending || !slots_.front().output.empty())) {
    flush_answers();
    if (!closed()) process_received_commands();
    return;
  }
  // All that has been received of a streamed answer is sent: request the next part.
  if (!slots_.empty() && slots_.front().streaming && slots_.front().pending) {
    waiting_since_ = loop_.now();
    return owner_.broker().resume_answer(slots_.front().request);
  }
  if (drained()) close_and_cancel();
}

void Client::drain() {
  draining_ = true;
  if (drained()) close_and_cancel();
}

/// Whether a draining client can be closed: nothing is pending or unread, and a client that has just
/// connected has had time for its first command. Input waiting in the socket is read first, since closing
/// would reset the connection.
bool Client::drained() const {
  if (!draining_ || !nothing_pending() || !in_.empty()) return false;
  return (command_received_ || loop_.now() - waiting_since_ > drain_first_command_s) && !has_pending_input();
}

/// Records when the input just read was received. If the list is full, the new bytes count as received with
/// the last entry: its older time only makes a deadline earlier.
void Client::record_arrival() {
  bytes_received_ += in_.size() - seen_input_;
  seen_input_ = in_.size();
  if (arrivals_.size() < max_arrivals)
    arrivals_.emplace_back(bytes_received_, owner_.broker().now());
  else
    arrivals_.back().first = bytes_received_;
}

/// When the last byte of the command just taken from the buffer was received. Drops the entries of earlier
/// bytes.
Time Client::arrival_time() {
  const auto command_end = bytes_received_ - in_.size();
  while (!arrivals_.empty() && arrivals_.front().first < command_end) arrivals_.pop_front();
  return arrivals_.empty() ? owner_.broker().now() : arrivals_.front().second;
}

/// With pipelining a host that does not respond must not block the commands behind its request, so only
/// pending requests count towards the depth; queued answers have their own limits.
bool Client::can_process_command() const {
  // Answers that wait for an earlier one take memory: no further ones while it is short.
  if (!slots_.empty() && broker::MessageMemory::exceeded()) return false;
  return pending_requests_ < pipeline_depth() &&
         (pipeline_depth() == 1 ||
          (slots_.size() < max_queued_answers && queued_answer_bytes_ < max_input()));
}

/// Processes commands unless their client has left: they may have waited here or, while the process was held
/// up, in the socket.
void Client::process_received_commands() {
  if (!processing_ && !in_.empty() && client_gone()) return close_and_cancel();
  process_commands();
}

/// Processes as many commands as may be pending at once: a command that waited for the one before it would
/// miss its deadline. processing_ prevents an immediate answer from processing the next command recursively.
void Client::process_commands() {
  if (processing_) return;
  processing_ = true;
  hold_output();
  int commands_left = max_commands_per_turn;
  bool more = true;
  while (more && commands_left > 0 && !closed() && !final_reply_ && can_process_command()) {
    more = process_command();
    --commands_left;
  }
  release_output();
  processing_ = false;
  if (more && !closed() && !final_reply_ && !in_.empty() && can_process_command())
    owner_.defer_commands(this);
  seen_input_ = in_.size();
  if (in_.empty()) arrivals_.clear();
  if (closed() || lingering_) return;
  if (drained()) return close_and_cancel();
  const bool was_partial = partial_command_;
  partial_command_ = slots_.empty() && (!in_.empty() || reading_long_command());
  // The time limit of a command counts from its first bytes; that of the first one, from the connect.
  if (partial_command_ && !was_partial && command_received_) waiting_since_ = loop_.now();
  input_consumed();
}

broker::Rejection Client::submit_request(const StatementInfo& info,
                                         std::shared_ptr<broker::RequestPayload> payload,
                                         std::size_t unreserved_bytes) {
  broker::ClientRequest request;
  request.name = info.id;
  request.class_name = info.class_name;
  request.tenant = info.tenant;
  request.group = GroupId{*info.group};
  request.time_left = std::chrono::milliseconds(*info.deadline_ms);
  request.arrived = arrival_time();
  if (!info.session.empty()) request.session = session_id_of(info.session);
  request.retry = info.retry;
  if (info.after_ms) request.required_position = std::chrono::milliseconds(*info.after_ms);
  request.out_of_memory = !broker::MessageMemory::available(unreserved_bytes);
  if (!request.out_of_memory) payload->memory.set(unreserved_bytes);
  request.payload = std::move(payload);
  Slot slot;
  slot.pending = true;
  slots_.push_back(std::move(slot));
  ++pending_requests_;
  const auto rejection = owner_.broker().accept(request, *this, slots_.back().request);
  if (rejection != broker::Rejection::none) {
    slots_.pop_back();
    --pending_requests_;
  }
  return rejection;
}

std::deque<Client::Slot>::iterator Client::find_slot(RequestId request) {
  return std::find_if(
      slots_.begin(), slots_.end(), [&](const Slot& s) { return s.pending && s.request == request; });
}

void Client::finish(RequestId request, broker::FinalAnswer answer) {
  const auto slot = find_slot(request);
  if (slot == slots_.end()) return;
  slot->pending = false;
  --pending_requests_;
  waiting_since_ = loop_.now();
  if (answer.truncated) {
    // Nobody else's answer is lost with the connection: its close tells the client that the value is
    // incomplete.
    if (!has_other_commands()) return close_and_cancel();
    end_truncated(*slot, std::move(answer));
  } else {
    std::string rest;
    put_answer(std::move(answer), rest);
    const bool waits = slot != slots_.begin();
    if (waits && !slot->streaming && !broker::MessageMemory::available(rest.size())) {
      rest.clear();
      put_answer(unkept_answer(), rest);
    }
    queued_answer_bytes_ += rest.size();
    slot->output += rest;
  }
  flush_answers();
  if (!closed()) process_received_commands();
}

ClientSet::ClientSet(ev::loop_ref loop, Reaper& reaper, broker::Broker& broker, const std::string& address,
                     std::size_t max_clients, Factory factory, Fd listener)
    : loop_(loop),
      reaper_(reaper),
      broker_(broker),
      max_clients_(max_clients),
      idle_timeout_limit_(max_clients),
      factory_(std::move(factory)),
      listener_(listener.get() >= 0 ? std::move(listener) : listen_on(address, true)),
      accept_watcher_(loop),
      accept_pause_timer_(loop),
      sweep_timer_(loop),
      memory_budget_(std::make_shared<broker::MemoryBudget>(initial_memory_budget,
                                                            [this] {
                                                              if (!memory_freed_timer_.is_active())
                                                                memory_freed_timer_.start(0);
                                                            })),
      memory_freed_timer_(loop),
      deferred_timer_(loop) {
  deferred_timer_.set<ClientSet, &ClientSet::process_deferred_commands>(this);
  memory_freed_timer_.set<ClientSet, &ClientSet::on_memory_freed>(this);
  if (listener_.get() < 0) throw std::system_error(errno, std::generic_category(), "listen: " + address);
  accept_watcher_.set<ClientSet, &ClientSet::on_connection>(this);
  accept_pause_timer_.set<ClientSet, &ClientSet::resume_accepting>(this);
  sweep_timer_.set<ClientSet, &ClientSet::sweep>(this);
  sweep_timer_.start(sweep_interval_s, sweep_interval_s);
}

void ClientSet::drain() {
  accept_watcher_.stop();
  // Clients in the listener's queue consider themselves connected: closing the listener would reset them.
  for (int i = 0; i < accept_rounds_at_drain && listening() && !transfer_ && accept_pending(); ++i) {
  }
  accept_pause_timer_.stop();
  listener_.reset();
  if (transfer_) return;  // the clients are transferred as they become idle
  // Copied, since closed clients are removed from clients_.
  std::vector<Client*> all;
  for (const auto& [key, client] : clients_) all.push_back(client.get());
  for (auto* client : all) client->drain();
}

ClientSet::~ClientSet() { memory_budget_->close(); }

/// Wakes the clients that wait for memory in their order, until one still finds none.
void ClientSet::on_memory_freed(ev::timer&, int) {
  const void* last_woken = nullptr;
  while (memory_budget_->next_waiter() && memory_budget_->next_waiter() != last_woken) {
    last_woken = memory_budget_->next_waiter();
    const auto it = std::find_if(clients_.begin(), clients_.end(),
                                 [&](const auto& entry) { return entry.first == last_woken; });
    if (it == clients_.end())
      memory_budget_->stop_waiting(last_woken);
    else
      it->second->on_memory_available();
  }
}

void ClientSet::defer_commands(Client* client) {
  if (std::find(deferred_.begin(), deferred_.end(), client) == deferred_.end()) deferred_.push_back(client);
  if (!deferred_timer_.is_active()) deferred_timer_.start(0);
}

void ClientSet::process_deferred_commands(ev::timer&, int) {
  for (auto* client : std::exchange(deferred_, {}))
    if (clients_.count(client) > 0) client->process_deferred_commands();
}

void ClientSet::start_handover(Transfer transfer) {
  accept_watcher_.stop();
  accept_pause_timer_.stop();
  transfer_ = std::move(transfer);
  sweep_timer_.stop();
  sweep_timer_.start(0, transfer_interval_s);
  transfer_idle();
}

void ClientSet::cancel_handover() {
  if (!transfer_) return;
  transfer_ = nullptr;
  sweep_timer_.stop();
  sweep_timer_.start(sweep_interval_s, sweep_interval_s);
  start_accepting();
}

/// Transfers the clients that are between two commands, and closes those that cannot be transferred.
void ClientSet::transfer_idle() {
  std::vector<Client*> idle;
  for (const auto& [key, client] : clients_)
    if (client->between_commands() && (client->transferable() || client->has_sent_command()))
      idle.push_back(key);
  for (auto* client : idle) {
    // Input waiting in the socket of a client that cannot be transferred is read first: closing would reset
    // the connection.
    if (!client->transferable() && client->has_pending_input()) continue;
    if (client->transferable() && !transfer_(client->descriptor(), client->transfer_state())) return;
    client->close_and_cancel();  // closes only this process's descriptor of a transferred connection
  }
}

void ClientSet::adopt(Fd fd, const std::string& state) {
  auto client = factory_(std::move(fd), *this);
  auto* raw = client.get();
  clients_.emplace(raw, std::move(client));
  raw->continue_transferred(state);
}

void ClientSet::remove(Client* client) {
  const auto it = clients_.find(client);
  if (it == clients_.end()) return;
  if (client->lingering()) --lingering_count_;
  reaper_.add(std::move(it->second));
  clients_.erase(it);
}

void ClientSet::on_lingering(Client*) {
  if (++lingering_count_ <= max_lingering) return;
  Client* longest = nullptr;
  for (const auto& [key, client] : clients_)
    if (client->lingering() && (!longest || client->waiting_since() < longest->waiting_since()))
      longest = key;
  longest->close_and_cancel();
}

/// Closes clients that have exceeded a time limit or disconnected, then transfers or retires idle ones.
void ClientSet::sweep(ev::timer&, int) {
  std::vector<Client*> expired;
  for (const auto& [key, client] : clients_) {
    const auto waiting_since = client->waiting_since();
    const auto limit = client->exceeded_limit(loop_.now());
    if (limit != TimeLimit::none && on_time_limit_) on_time_limit_(limit, loop_.now() - waiting_since);
    if (limit != TimeLimit::none || client->closed_unnoticed()) expired.push_back(key);
  }
  for (auto* client : expired) client->close_and_cancel();
  Connection::resume_after_memory_shortage();
  if (transfer_) return transfer_idle();
  retire_idle();
}

/// Closes idle clients, the longest idle first, while the number of connections calls for it. The permitted
/// idle time grows with each client closed.
void ClientSet::retire_idle() {
  if (!idle_limits_.should_close(Duration::max(), active_count(), idle_timeout_limit_)) return;
  std::vector<Client*> idle;
  for (const auto& [key, client] : clients_)
    if (client->idle()) idle.push_back(key);
  std::sort(idle.begin(), idle.end(),
            [](const Client* a, const Client* b) { return a->waiting_since() < b->waiting_since(); });
  for (auto* client : idle) {
    if (!idle_limits_.should_close(idle_time(*client), active_count(), idle_timeout_limit_)) return;
    if (client->has_pending_input()) continue;  // its next request may have arrived already
    client->close_and_cancel();
  }
}

Duration ClientSet::idle_time(const Client& client) const {
  constexpr double us_per_s = 1e6;
  return Duration(static_cast<std::int64_t>((loop_.now() - client.waiting_since()) * us_per_s));
}

/// Whether another client can be accepted, if need be in place of an evicted one.
bool ClientSet::make_room() { return active_count() < max_clients_ || evict(); }

/// Closes the evictable client that has waited longest, preferring clients that have never sent a command.
bool ClientSet::evict() {
  Client* evicted = nullptr;
  const auto evict_before = [](const Client* a, const Client* b) {
    return a->has_sent_command() != b->has_sent_command() ? !a->has_sent_command()
                                                          : a->waiting_since() < b->waiting_since();
  };
  for (const auto& [key, client] : clients_)
    if (client->evictable(loop_.now()) &&
        (!client->idle() ||
         idle_limits_.should_close(idle_time(*client), active_count(), idle_timeout_limit_)) &&
        (!evicted || evict_before(key, evicted)) && !client->has_pending_input())
      evicted = key;
  if (evicted) evicted->close_and_cancel();
  return evicted != nullptr;
}

/// Accepts up to accepts_per_event connections; false once none is pending or no more can be accepted now.
bool ClientSet::accept_pending() {
  for (int i = 0; i < accepts_per_event; ++i) {
    Fd fd = accept_from(listener_.get());
    if (fd.get() < 0) {
      // Out of descriptors or memory: pause, as the listener stays readable and the loop would spin.
      if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM) {
        accept_watcher_.stop();
        accept_pause_timer_.start(accept_pause_s);
      }
      if (errno != EINTR && errno != ECONNABORTED) return false;
      continue;
    }
    if (on_new_client_) on_new_client_();
    const bool full = !make_room();
    auto client = factory_(std::move(fd), *this);
    auto* raw = client.get();
    clients_.emplace(raw, std::move(client));
    if (full)
      raw->reject_too_many_clients();
    else
      raw->greet();
  }
  return true;
}

}  // namespace cedarring::wire
