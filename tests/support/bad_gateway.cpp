// A minimal gateway that breaks one rule on purpose, chosen by the environment variable DEFECT. Shows that
// the rig reports violations of real processes. One thread for each client; no limits, no retries, no
// pooling. Values of DEFECT:
//   none     no defect, but no slow start of cold hosts either
//   mute     never answers a statement
//   deaf     uses the first member list for good
//   stale    sends bounded reads to replicas, whatever their lag
//   unseen   sends a request late, even if its client has left
//   repeat   sends a write again after its deduplication window
//   seven    sends each request seven times
//   twice    sends a read to two hosts at once
//   invents  returns another value than the host
#include <rapidjson/document.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <mutex>
#include <sstream>
#include <thread>
#include <vector>

#include "support/stand_in.h"
#include "wire/discovery.h"
#include "wire/pg.h"
#include "wire/statement.h"

namespace {

using namespace cedarring;
using namespace std::chrono_literals;
using test::Socket;

std::string defect;
std::string discovery;  // address
std::mutex mutex;       // of cached_members
broker::MemberList cached_members;

/// The member list that discovery answers with now; the last one if there is no answer.
broker::MemberList fetch_members() {
  const std::lock_guard lock(mutex);
  if (!cached_members.members.empty() && defect == "deaf") return cached_members;
  auto socket = Socket::to(discovery);
  socket.send("GET /catalog/members HTTP/1.1\r\nHost: d\r\n\r\n");
  std::string response;
  while (response.find("\r\n\r\n") == std::string::npos) {
    const auto byte = socket.read(1);
    if (!byte) return cached_members;
    response += *byte;
  }
  const auto body =
      socket.read(std::strtoul(response.c_str() + response.find("Content-Length: ") + 16, nullptr, 10));
  if (const auto list = body ? wire::parse_members(*body) : std::nullopt) cached_members = *list;
  return cached_members;
}

/// Reads a message and returns its body; `type` becomes 0 at the end of the connection.
std::string read_message(Socket& socket, char& type) {
  const auto head = socket.read(5);
  if (!head) {
    type = 0;
    return "";
  }
  type = (*head)[0];
  std::uint32_t size = 0;
  for (int i = 1; i < 5; ++i)
    size = size << 8U | static_cast<unsigned char>((*head)[static_cast<std::size_t>(i)]);
  return socket.read(size - 4).value_or("");
}

/// Opens a connection to a host and sends the statement.
Socket send_statement(const std::string& address, const std::string& sql) {
  auto socket = Socket::to(address);
  std::string out;
  wire::pg::put_startup(out, "svc", "main");
  wire::pg::put_query(out, sql);
  socket.send(out);
  return socket;
}

/// Reads past the greeting of a host and returns the messages of the answer that follows; empty on failure.
std::string read_answer(Socket& socket) {
  std::string response;
  // The greeting and the answer each end with ReadyForQuery.
  for (int ready = 0; ready < 2;) {
    char type = 0;
    const auto body = read_message(socket, type);
    if (type == 0) return "";
    if (ready == 1) {
      response += type;
      for (int shift = 24; shift >= 0; shift -= 8)
        response += static_cast<char>((body.size() + 4) >> static_cast<unsigned>(shift));
      response += body;
    }
    ready += type == 'Z' ? 1 : 0;
  }
  return response;
}

/// Serves one client until it leaves. History, and for `stale` the bounded class, goes to replicas, all else
/// to the primary.
void serve(Socket client) {
  wire::pg::Startup startup;
  std::string first;
  do {
    const auto byte = client.read(1);
    if (!byte) return;
    first += *byte;
  } while (wire::pg::next_startup(first, startup) == wire::pg::FrameStatus::partial);
  std::string out;
  wire::pg::put_startup_response(out);
  client.send(out);
  for (std::size_t turn = 0;; ++turn) {  // replicas take turns
    char type = 0;
    auto sql = read_message(client, type);
    if (type != 'Q') return;
    sql.pop_back();
    if (sql.empty()) {
      out.clear();
      wire::pg::put_empty_query_response(out);
      wire::pg::put_ready_for_query(out);
      client.send(out);
      continue;
    }
    wire::StatementInfo info;
    std::string missing;
    wire::parse_statement(sql, info, missing);
    const bool for_replica =
        info.class_name == "history" || (defect == "stale" && info.class_name == "desk-view");
    const auto members = fetch_members();
    std::vector<std::string> hosts;
    for (const auto& member : members.members)
      if (member.group.value == *info.group && member.state == HostState::ready &&
          member.primary != for_replica)
        hosts.push_back(member.address);
    if (hosts.empty()) return;
    const auto& host_address = hosts[turn % hosts.size()];
    if (defect == "mute") continue;
    if (defect == "unseen") std::this_thread::sleep_for(450ms);  // ignores that its client may have left
    if (defect == "repeat" && info.class_name == "bid-submit") {
      send_statement(host_address, sql);
      std::this_thread::sleep_for(1400ms);  // after the deduplication window, before the deadline
    }
    if (defect == "seven")
      for (int i = 0; i < 6; ++i) send_statement(host_address, sql);
    std::optional<Socket> second_host;  // stays open while the first host is asked
    if (defect == "twice" && for_replica) second_host = send_statement(hosts[(turn + 1) % hosts.size()], sql);
    auto host = send_statement(host_address, sql);
    auto host_answer = read_answer(host);
    if (host_answer.empty()) return;
    if (const auto at = host_answer.find(info.id); defect == "invents" && at != std::string::npos)
      host_answer[at] = '?';
    client.send(host_answer);
  }
}

}  // namespace

int main() {
  std::ifstream in(std::getenv("ROUTER_CONFIG"));
  std::stringstream text;
  text << in.rdbuf();
  rapidjson::Document config;
  config.Parse(text.str().c_str());
  if (const char* value = std::getenv("DEFECT")) defect = value;
  discovery = config["discovery"].GetString();
  auto listener = wire::listen_on(config["listen"].GetString());
  if (listener.get() < 0) return 1;
  fetch_members();
  std::thread([] {  // watches for changes, and ignores them
    auto socket = Socket::to(discovery);
    socket.send("GET /catalog/members?follow=1&since=0 HTTP/1.1\r\nHost: d\r\n\r\n");
    while (socket.read(1)) {
    }
  })
      .detach();
  for (;;) {
    auto fd = wire::accept_from(listener.get());
    if (fd.get() < 0) {
      std::this_thread::sleep_for(1ms);
      continue;
    }
    std::thread([client = std::make_shared<Socket>(std::move(fd))]() mutable {
      serve(std::move(*client));
    }).detach();
  }
}
