#include "scenario.h"

#include <cstdio>
#include <cstdlib>
#include <memory>

namespace gentian::fault_matrix {

namespace {

constexpr int kHosts = 6;
constexpr int kDomains = 3;

std::string DaemonSections() {
  std::string text;
  for (int i = 0; i < kHosts; ++i) {
    const std::string number = std::to_string(i);
    text += "[/daemons/h";
    text += number;
    text += "]\nfailure_domain = z";
    text += std::to_string(i % kDomains);
    text += "\npeer_address = 10.0.0.";
    text += number;
    text += ":7000\ncaller_address = 10.0.0.";
    text += number;
    text += ":8000\n";
  }
  return text;
}

std::string TeamSection(const std::string& team, const std::string& more) {
  return "[/teams/" + team + "]\nkey.main = " + Sha256Hex(KeyOf(team)) +
         "\nprograms = agent\n" + more;
}

std::string SettingsText() {
  return DaemonSections() +
         "[/pools/chat]\nmodel = chat\n"
         "[/pools/chat/engine-1]\naddress = 10.1.0.1:80\nslots = 8\n"
         "cache_tokens = 100k\n"
         "[/pools/chat/engine-2]\naddress = 10.1.0.2:80\nslots = 8\n"
         "cache_tokens = 100k\n"
         "[/pools/chat/engine-3]\naddress = 10.1.0.3:80\nslots = 8\n"
         "cache_tokens = 100k\n"
         "[/pools/desk]\nkind = tool_service\nreports_not_run = yes\n"
         "[/pools/desk/desk-1]\naddress = 10.2.0.1:80\nslots = 32\n"
         "[/pools/desk/desk-2]\naddress = 10.2.0.2:80\nslots = 32\n"
         "[/tools/book]\npool = desk\npath = /book\ndeadline = 8s\n"
         "[/tools/lookup]\npool = desk\npath = /lookup\nrepeatable = yes\n"
         "deadline = 8s\n"
         "[/programs/agent]\npool = chat\ntools = book, lookup\n" +
         TeamSection("kiosk", "rate = 100/s\nburst = 100\n") +
         TeamSection("desk", "rate = 100/s\nburst = 100\n") +
         TeamSection("guest", "rate = 100/s\nburst = 100\n") +
         TeamSection("noisy", "rate = 10/s\nburst = 5\n");
}

scenario Build() {
  scenario built;
  const auto tree = ParseSettings(SettingsText(), "scenario.ini");
  if (!std::holds_alternative<settings_tree>(tree)) {
    std::fprintf(stderr, "the scenario's settings can not be read\n");
    std::abort();
  }
  built.tree = std::get<settings_tree>(tree);
  const auto settings = BuildConfiguration(built.tree, 0);
  if (const auto* problems =
          std::get_if<std::vector<settings_problem>>(&settings)) {
    for (const settings_problem& problem : *problems) {
      std::fprintf(stderr, "%s %s: %s\n", problem.section.c_str(),
                   problem.key.c_str(), problem.reason.c_str());
    }
    std::abort();
  }
  built.settings = std::get<configuration>(settings);
  for (const auto& [host, daemon] : built.settings.daemons) {
    built.hosts.push_back(host);
  }
  return built;
}

}  // namespace

const scenario& Scenario() {
  static const scenario built = Build();
  return built;
}

std::string KeyOf(const std::string& team) {
  return "key-of-" + team;
}

node_identity IdentityOf(const host_id& host) {
  const daemon_settings& daemon = Scenario().settings.daemons.at(host);
  return {daemon.host, daemon.failure_domain, daemon.peer_address,
          daemon.caller_address, daemon.has_data_folder};
}

std::unique_ptr<node> MakeNode(const host_id& host, random_source& random) {
  return std::make_unique<node>(
      IdentityOf(host),
      initial_settings(Scenario().settings, Scenario().tree,
                       BuildConfiguration),
      random);
}

}  // namespace gentian::fault_matrix
