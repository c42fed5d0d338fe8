#include <cxxopts.hpp>
#include <iostream>

#include "gentian_app/exit_code.h"
#include "gentian_app/settings_reference.h"
#include "gentian_app/subcommand.h"
#include "gentian_app/text_file.h"
#include "gentian_daemon/gentian_daemon.h"

namespace gentian {

namespace {

std::vector<settings_problem> CheckText(const std::string& text,
                                        const std::string& file) {
  if (!IsDaemonFile(text)) {
    return CheckSettings(text, file);
  }
  auto parsed = ParseDaemonFile(text, file);
  if (auto* const problems =
          std::get_if<std::vector<settings_problem>>(&parsed)) {
    return std::move(*problems);
  }
  return {};
}

struct check_result {
  std::vector<settings_problem> problems;
  int status = exit_ok;
};

check_result CheckFiles(const std::vector<std::string>& files) {
  check_result checked;
  for (const std::string& file : files) {
    const result<std::string> text = ReadTextFile(file);
    if (Failed(text)) {
      checked.problems.push_back(
          {file, 0, "", "", ErrorOf(text).message, ErrorOf(text).remedy});
      checked.status = exit_file;
      continue;
    }
    for (settings_problem& problem : CheckText(ValueOf(text), file)) {
      checked.problems.push_back(std::move(problem));
      checked.status = std::max<int>(checked.status, exit_mistakes);
    }
  }
  return checked;
}

int Print(const check_result& checked, std::size_t files, bool as_json) {
  if (as_json) {
    std::cout << json{{"files", files}, {"problems", checked.problems}}.dump(
                     2, ' ', false, json::error_handler_t::replace)
              << "\n";
    return checked.status;
  }
  for (const settings_problem& problem : checked.problems) {
    std::cout << ToString(problem) << "\n";
  }
  std::cout << files << (files == 1 ? " file, " : " files, ")
            << checked.problems.size()
            << (checked.problems.size() == 1 ? " mistake\n" : " mistakes\n");
  return checked.status;
}

}  // namespace

int RunCheck(int argc, char** argv) {
  cxxopts::Options options(
      "gentianrun check",
      "Checks settings files without starting anything. Sections that begin "
      "with / are the operators' settings, all others a daemon's file.");
  options.positional_help("FILE...");
  options.add_options()("json", "Print JSON")(
      "reference", "Print all sections and keys as Markdown")(
      "h,help", "Show this help")("files",
                                  "Files to check, - for standard input",
                                  cxxopts::value<std::vector<std::string>>());
  options.parse_positional({"files"});
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << options.help()
                << "\nExit codes:\n"
                   "  0  no mistakes\n"
                   "  1  mistakes; all were printed\n"
                   "  2  the command line is wrong\n"
                   "  3  a file can not be read\n";
      return exit_ok;
    }
    if (parsed.count("reference") > 0) {
      std::cout << SettingsReference();
      return exit_ok;
    }
    if (parsed.count("files") == 0) {
      std::cerr << "gentianrun check: no file; see gentianrun check --help\n";
      return exit_usage;
    }
    const auto files = parsed["files"].as<std::vector<std::string>>();
    return Print(CheckFiles(files), files.size(), parsed.count("json") > 0);
  } catch (const cxxopts::exceptions::exception& failure) {
    std::cerr << "gentianrun check: " << failure.what()
              << "; see gentianrun check --help\n";
    return exit_usage;
  }
}

}  // namespace gentian
