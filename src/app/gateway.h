// Wiring, start and stop of one gateway.
#pragma once

#include <ev++.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "app/clock.h"
#include "app/config.h"
#include "app/service.h"
#include "telemetry/log.h"
#include "wire/admin.h"
#include "wire/door.h"
#include "wire/handover.h"

namespace cedarring::app {

class Gateway {
 public:
  /// `file`: the gateway's own file as named on the command line, for reloads; empty: the usual one.
  Gateway(ev::loop_ref loop, const Config& config, std::string file = "");
  /// Serves until a SIGTERM or SIGINT has been seen through.
  void run();

 private:
  void stop(ev::sig&, int);
  void drain(ev::timer&, int);
  void last_call(ev::timer&, int);
  void reload(ev::sig&, int);
  void told(ev::sig&, int) { report(); }
  void report() const;
  void log_courses();
  void check_empty(ev::prepare&, int);
  [[nodiscard]] bool empty() const;
  std::string answer(const std::vector<std::string>& words);
  std::string answer_levels() const;
  std::string answer_hosts();
  std::string answer_records(std::size_t most) const;
  std::string set_level(const std::vector<std::string>& words);
  wire::DoorAnswer call(const wire::DoorCall& call);
  [[nodiscard]] bool ready() const;
  bool set_out(const std::string& host, bool out);
  // Upgrades: the process before this one, then the one that follows.
  void follow(wire::Fd link);
  void try_serving(ev::timer&, int);
  void serve();
  void no_yes(ev::timer&, int);
  void split();
  void keep_in_step(ev::timer&, int);
  void send_parts(const char* kind, const std::map<std::string, StateParts>& all);
  void spoilt(const std::string& front, const std::vector<std::string>& parts);
  void wait_for_next();
  void next_came(wire::Fd link);
  void peer_said(wire::Packet packet);
  void peer_ended();
  void share(bool ends, std::size_t theirs);
  [[nodiscard]] handover::ResourceShares whole_of(const Service& s) const;
  void make_admin();
  std::string metrics();

  ev::loop_ref loop_;
  std::string file_;
  std::string in_force_;  // the configuration's text
  UnixClock clock_;
  telemetry::Log log_;
  wire::Reaper reaper_;
  std::vector<std::unique_ptr<Service>> services_;
  std::unique_ptr<wire::AdminSocket> admin_;
  std::unique_ptr<wire::ControlDoor> door_;
  std::uint64_t applied_ = 0, rejected_ = 0;  // files at SIGHUP
  std::string handover_dir_, handover_name_, admin_path_;
  std::size_t memory_;
  ev::tstamp since_;  // its start
  std::unique_ptr<wire::HandoverDoor> handover_;
  std::unique_ptr<wire::Link> link_;      // to the other process, while there are two
  bool follows_ = false;                  // this is the new one, and the old one has not ended
  bool handing_ = false;                  // this is the old one, and the new one serves
  bool split_ = false;                    // this is the old one, and what may be spent is in two parts
  bool waits_for_yes_ = false;            // this is the new one, and the old one will tell its part
  std::string parts_;                     // that are coming
  std::map<std::string, Duration> told_;  // ejections: front and host, until when, as both know it
  std::size_t theirs_ = 0;                // clients that the old one still has
  std::vector<std::shared_ptr<wire::Link>> forget_;  // ended; freed when the loop next blocks
  ev::timer serving_, leave_, yes_, step_;
  ev::sig term_, int_, usr1_, hup_;
  ev::timer drain_, last_;
  ev::prepare check_;
};

}  // namespace cedarring::app
