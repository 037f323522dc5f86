// The settings of two small deployments, in the form of the wire page, with the figures of the site files.
#pragma once

#include <string>

namespace lab {

inline std::string request_class(const std::string& name, int aim, int deadline, const std::string& effect,
                                 double worth, double late_worth, int window) {
  return R"({"name":")" + name + R"(","aim":)" + std::to_string(aim) + R"(,"deadline":)" +
         std::to_string(deadline) + R"(,"effect":")" + effect + R"(","group":"cell","importance":)" +
         std::to_string(worth) + R"(,"late_worth":)" + std::to_string(late_worth) +
         R"(,"streamed":false,"window":)" + std::to_string(window) + "}";
}

/// The classes of `sapporo-east`; without `bid-submit` if `with_bids` is false.
inline std::string sapporo_classes(bool with_bids) {
  return "[" + request_class("desk-view", 300, 750, "read_like", 2, 0.2, 5000) + "," +
         request_class("history", 300, 1000, "read_like", 1, 0, 5000) + "," +
         request_class("gate-check", 200, 800, "read_like", 1, 0, 5000) +
         (with_bids ? "," + request_class("bid-submit", 750, 2000, "idempotency_key", 3, 0.7, 1200) : "") +
         "]";
}

inline std::string sapporo_settings(int gateway, int gateways, bool with_bids = true) {
  return R"({"az":"chuo-3f","zones":["chuo-3f","kotoni","shiroishi"],"balancers":)" +
         std::to_string(gateways) + R"(,"position":)" + std::to_string(gateway) + R"(,"classes":)" +
         sapporo_classes(with_bids) +
         R"(,"clients":{"marks_retry":true},"family":"replicas","guarantees":{"answer_slack":20,"ask_within":10000,)"
         R"("cold":14000,"cold_from":0.17,"stop_sending_within":1000,"tip_after":2000,"tip_multiple":2},)"
         R"("host_types":["std3"],"limits":{"cancel":true,"connect_timeout":250,"cpu_us_per_request":0,)"
         R"("cpu_us_per_s":400000,"idle_close":30000,"max_open":20000,"max_retry_after":500,"may_probe":true,)"
         R"("peers":false,"retry_after":true,"second_copies":false,"send_cap":6,"streams_per_conn":1},)"
         R"("over_share_worth":0.05,"prices":{"cross_zone":0.01,"late_fail":0.03,"probe":0.01,"waste":0.08},)"
         R"("quantum":5,"realms":[{"name":"ishikari-gen","portion":0.66,"quota_per_s":154},)"
         R"({"name":"tokachi-denryoku","portion":0.18,"quota_per_s":42},)"
         R"({"name":"rumoi-wind","portion":0.16,"quota_per_s":37}],"registry_mode":"subscribe",)"
         R"("specifics":{"checks":"bounce","class_bound":[200,0,0)" +
         (with_bids ? ",0" : "") +
         R"(],"list_role":"trailing","needs_by_class":["lag_bound","eventual","strong")" +
         (with_bids ? R"(,"mutate")" : "") +
         R"(],"patience":0,"stamps":true,"token_mode":"brought","waits_for_copy":false},"stage":0,)"
         R"("telemetry":{"fields":["x0","x1","pending"],"via":"probe"},"tiers":["bid-ledger"],)"
         R"("weight_source":"nominal","worth_by":"request"})";
}

/// `laadnet-nl-main`: hosts answer a read from what they have, however old.
inline std::string laadnet_settings(int gateway, int gateways) {
  return R"({"az":"ams-dc1","zones":["ams-dc1"],"balancers":)" + std::to_string(gateways) +
         R"(,"position":)" + std::to_string(gateway) + R"(,"classes":[)" +
         request_class("session-status", 600, 2000, "read_like", 3, 0.2, 5000) + "," +
         request_class("charger-lookup", 250, 600, "read_like", 1, 0, 5000) + "," +
         request_class("monthly-report", 4000, 8000, "read_like", 6, 0, 5000) + "," +
         request_class("session-write", 400, 2000, "idempotency_key", 6, 0.7, 2000) +
         R"(],"clients":{"marks_retry":true},"family":"replicas","guarantees":{"answer_slack":20,"ask_within":10000,)"
         R"("cold":18000,"cold_from":0.19,"stop_sending_within":500,"tip_after":3000,"tip_multiple":4},)"
         R"("host_types":["std-3core"],"limits":{"cancel":true,"connect_timeout":250,"cpu_us_per_request":0,)"
         R"("cpu_us_per_s":500000,"idle_close":30000,"max_open":20000,"max_retry_after":2000,"may_probe":true,)"
         R"("peers":false,"retry_after":true,"second_copies":false,"send_cap":6,"streams_per_conn":1},)"
         R"("prices":{"late_fail":0.03,"probe":0.0094,"waste":0.062},"quantum":5,"registry_mode":"subscribe",)"
         R"("specifics":{"checks":"none","class_bound":[200,0,0,0],"list_role":"trailing",)"
         R"("needs_by_class":["lag_bound","eventual","eventual","mutate"],"patience":0,"stamps":false,)"
         R"("token_mode":"kept","waits_for_copy":false},"stage":0,)"
         R"("telemetry":{"fields":["x0","x1","pending"],"via":"probe"},"tiers":["session-db"],)"
         R"("weight_source":"rough","worth_by":"request"})";
}

/// The object behind ROUTER_CONFIG.
inline std::string gateway_config(const std::string& name, const std::string& address,
                                  const std::string& discovery, const std::string& known,
                                  const std::string& settings) {
  return R"({"name":")" + name + R"(","listen":")" + address + R"(","discovery":")" + discovery +
         R"(","seed":"8c1f30d27a5be96)" + name.back() +
         R"(","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":)" + known + R"(,"settings":)" +
         settings + "}";
}

}  // namespace lab
