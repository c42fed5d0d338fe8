#include <algorithm>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>

#include "gentian_app/exit_code.h"
#include "gentian_app/subcommand.h"
#include "gentian_app/text_table.h"
#include "gentian_log/gentian_log.h"

namespace gentian {

namespace {

using step = request_history::step;

// Shown in columns of their own.
constexpr const char* kOutcomeField = "outcome";
constexpr const char* kLevelField = "level";

std::string InputsOf(const step& next) {
  std::string text;
  for (const auto& [name, value] : next.fields.items()) {
    if (name != kOutcomeField && name != kLevelField) {
      text += (text.empty() ? "" : " ") + name + "=" + CellText(value);
    }
  }
  return text;
}

json ToJson(const request_history& history, const std::string& id) {
  json steps = json::array();
  for (const step& next : history.Steps()) {
    steps.push_back({{"at_ms", next.at.count()},
                     {"host", next.host},
                     {"message", next.message},
                     {"names_id", next.names_id},
                     {"fields", next.fields}});
  }
  return {{"id", id},
          {"outcome", history.Outcome()},
          {"meaning", request_history::MeaningOf(history.Outcome())},
          {"unreadable_lines", history.unreadable()},
          {"steps", std::move(steps)}};
}

void PrintTable(const request_history& history) {
  const std::vector<step> steps = history.Steps();
  const auto first =
      std::find_if(steps.begin(), steps.end(),
                   [](const step& next) { return next.names_id; });
  std::vector<std::vector<std::string>> rows = {
      {"ms", "host", "event", "outcome", "decided from"}};
  for (const step& next : steps) {
    rows.push_back({std::to_string((next.at - first->at).count()), next.host,
                    (next.names_id ? "" : "| ") + next.message,
                    next.fields.contains(kOutcomeField)
                        ? CellText(next.fields.at(kOutcomeField))
                        : "",
                    InputsOf(next)});
  }
  std::cout << FormatTable(rows)
            << "\nTimes count from the first line that names the id; lines "
               "with | tell what that host believed.\n"
            << request_history::MeaningOf(history.Outcome()) << "\n";
}

// Returns false if a file can not be read.
bool ReadFiles(const std::vector<std::string>& files,
               request_history& history) {
  for (const std::string& file : files) {
    if (file == "-") {
      history.Read(std::cin);
      continue;
    }
    std::ifstream in(file);
    if (!in) {
      std::cerr << "gentianrun explain: can not read " << file
                << "; check the path and its permissions\n";
      return false;
    }
    history.Read(in);
  }
  return true;
}

int Explain(const std::string& id,
            const std::vector<std::string>& files,
            bool as_json) {
  request_history history(id);
  if (!ReadFiles(files, history)) {
    return exit_file;
  }
  if (as_json) {
    std::cout << ToJson(history, id)
                     .dump(2, ' ', false, json::error_handler_t::replace)
              << "\n";
  }
  if (history.Steps().empty()) {
    std::cerr << "gentianrun explain: no line names '" << id
              << "'; give the logs of all hosts\n";
    return exit_mistakes;
  }
  if (!as_json) {
    PrintTable(history);
  }
  return exit_ok;
}

}  // namespace

int RunExplain(int argc, char** argv) {
  cxxopts::Options options(
      "gentianrun explain",
      "Puts together what the daemons logged of one request or program, and "
      "what they believed at that time.");
  options.positional_help("ID FILE...");
  options.add_options()("json", "Print JSON")("h,help", "Show this help")(
      "id", "Request-Id or program", cxxopts::value<std::string>())(
      "files", "Logs, - for standard input",
      cxxopts::value<std::vector<std::string>>());
  options.parse_positional({"id", "files"});
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << options.help()
                << "\nExit codes:\n"
                   "  0  a line names the id\n"
                   "  1  no line does\n"
                   "  2  the command line is wrong\n"
                   "  3  a file can not be read\n";
      return exit_ok;
    }
    if (parsed.count("id") == 0 || parsed.count("files") == 0) {
      std::cerr << "gentianrun explain: an id and one file at least are "
                   "needed; see gentianrun explain --help\n";
      return exit_usage;
    }
    return Explain(parsed["id"].as<std::string>(),
                   parsed["files"].as<std::vector<std::string>>(),
                   parsed.count("json") > 0);
  } catch (const cxxopts::exceptions::exception& failure) {
    std::cerr << "gentianrun explain: " << failure.what()
              << "; see gentianrun explain --help\n";
    return exit_usage;
  }
}

}  // namespace gentian
