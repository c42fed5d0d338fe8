#include <array>
#include <cstdlib>
#include <iostream>
#include <string>

#include "gentian_app/crash_report.h"
#include "gentian_app/process_signals.h"
#include "gentian_app/subcommand.h"
#include "gentian_daemon/version.h"
#include "gentian_log/gentian_log.h"

namespace {

constexpr std::array<gentian::subcommand, 7> kSubcommands = {{
    {"check", "check settings files without starting anything",
     gentian::RunCheck},
    {"admin", "show and change the settings of a fleet", gentian::RunAdmin},
    {"serve", "run a daemon as its settings file describes it",
     gentian::RunServe, true},
    {"gateway", "run a daemon on the users' platform",
     gentian::RunGatewayCommand, true},
    {"turn-store", "keep turns on a host's disk on the users' platform",
     gentian::RunTurnStoreCommand, true},
    {"explain", "tell from logs what became of a request", gentian::RunExplain},
    {"dev", "run one daemon with fakes of all outside systems", gentian::RunDev,
     true},
}};

void PrintHelp(std::ostream& out) {
  out << "Scheduler for agent programs\n\n"
         "Usage: gentianrun SUBCOMMAND [OPTIONS]\n\n"
         "Subcommands:\n";
  for (const auto& next : kSubcommands) {
    out << "  " << next.name << "\t" << next.summary << "\n";
  }
  out << "\ngentianrun SUBCOMMAND --help shows its options.\n"
         "gentianrun --version shows the version.\n";
}

}  // namespace

int main(int argc, char** argv) {
  const std::string name = argc > 1 ? argv[1] : "--help";
  if (name == "--version") {
    std::cout << "gentianrun " << gentian::Version() << "\n";
    return 0;
  }
  if (name == "--help" || name == "-h") {
    PrintHelp(std::cout);
    return 0;
  }
  gentian::ReportCrashes();
  gentian::HoldSignals();
  for (const auto& next : kSubcommands) {
    if (name == next.name) {
      if (!next.takes_signals) {
        gentian::ReleaseSignals();
      }
      const int status = next.run(argc - 1, argv + 1);
      gentian::Log(gentian::log_level::info, "process ends",
                   {{"status", status}});
      gentian::StopLog();
      std::cout.flush();
      // The logging library's static destructors wait for its idle threads,
      // which can take longer than the grace time of a planned stop.
      std::quick_exit(status);
    }
  }
  std::cerr << "gentianrun: unknown subcommand '" << name
            << "'; see gentianrun --help\n";
  return 2;
}
