#include <criterion/criterion.h>

#include "gentian_daemon/gentian_daemon.h"

using gentian::daemon_options;
using gentian::ParseDaemonFile;
using gentian::settings_problem;

namespace {

constexpr const char* kGood =
    "[daemon]\nhost = h1\nfailure_domain = valley\n"
    "peer_address = 127.0.0.1:7000\ncaller_address = 127.0.0.1:7001\n"
    "[peers]\npeer.h2 = 127.0.0.1:7100\npeer.h3 = 127.0.0.1:7200\n"
    "[key-value]\naddress = 127.0.0.1:2379\n";

}  // namespace

// Guards against a daemon that starts with other values than its file has.
Test(daemon_file, all_sections_are_read) {
  const std::string hash(64, 'b');
  const auto parsed = ParseDaemonFile(
      kGood + ("[admin]\naddress = 127.0.0.1:7002\nkey.ana = " + hash) +
          "\n[log]\nlevel = warning\n",
      "d.ini");
  const auto& file = std::get<daemon_options>(parsed);
  cr_assert_str_eq(file.host.text().c_str(), "h1");
  cr_assert_eq(file.peers.size(), 2);
  cr_assert_str_eq(file.peers[1].host.text().c_str(), "h3");
  cr_assert(file.stop_deadline == gentian::milliseconds(300'000));
  cr_assert_str_eq(file.operators_by_key_hash.at(hash).c_str(), "ana");
  cr_assert_str_eq(file.log_level.c_str(), "warning");
}

// Guards against a start that goes on with half of a file, and against an
// administration API that nobody has a key for.
Test(daemon_file, every_mistake_is_reported) {
  const auto parsed =
      ParseDaemonFile(std::string(kGood) +
                          "[logs]\nlevel = info\n[log]\nlevel = loud\n"
                          "[daemon]\nhots = x\n[admin]\n"
                          "address = 127.0.0.1:7002\n[tls]\ncertificate = c\n",
                      "d.ini");
  const auto& problems = std::get<std::vector<settings_problem>>(parsed);
  cr_assert_eq(problems.size(), 6);
  cr_assert_eq(problems[0].line, 11);
  cr_assert(ToString(problems[0]).find("'log'") != std::string::npos);
  cr_assert(ToString(problems[1]).find("debug, info") != std::string::npos);
  cr_assert(ToString(problems[2]).find("already") != std::string::npos);
  cr_assert(ToString(problems[3]).find("'host'") != std::string::npos);
  cr_assert(ToString(problems[4]).find("no key") != std::string::npos);
  cr_assert(ToString(problems[5]).find("belong together") != std::string::npos);
}

// Guards against a memory of the process that is not taken from its file.
Test(daemon_file, reads_the_memory) {
  const std::string file = kGood;
  cr_assert(
      std::get<daemon_options>(ParseDaemonFile(file, "d.ini")).memory_mb == 0);
  const std::string with =
      "[daemon]\nmemory_mb = 96\n" + file.substr(file.find('\n') + 1);
  cr_assert(
      std::get<daemon_options>(ParseDaemonFile(with, "d.ini")).memory_mb == 96);
}
