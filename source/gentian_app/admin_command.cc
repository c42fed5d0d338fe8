#include <array>
#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>

#include "gentian_app/admin_commands.h"
#include "gentian_app/exit_code.h"
#include "gentian_app/subcommand.h"
#include "gentian_app/text_file.h"

namespace gentian {

namespace {

struct admin_command {
  const char* name;
  const char* arguments;
  const char* summary;
  int (*run)(admin_session& session);
};

constexpr std::array<admin_command, 11> kCommands = {{
    {"settings", "", "show the settings tree in force", ShowSettings},
    {"get", "SECTION KEY", "show a value and the section it comes from",
     ShowValue},
    {"diff", "--set.. --unset.. | --file F",
     "show what a change would alter, without making it", ShowDifference},
    {"apply", "--set.. --unset.. | --file F", "make a change", ApplyChange},
    {"history", "[FROM-VERSION]", "show accepted changes, newest first",
     ShowHistory},
    {"rollback", "VERSION", "make a version that undoes all later changes",
     RollBack},
    {"rollout", "[VERSION]", "show on how many daemons a version is in force",
     ShowRollout},
    {"key grant", "TEAM LABEL", "make a key and show it once", GrantKey},
    {"key list", "[TEAM]", "show labels and hashes of keys", ListKeys},
    {"key withdraw", "TEAM LABEL", "end a key at once", WithdrawKey},
    {"status", "", "show members, queues, teams, sessions and counters",
     ShowStatus},
}};

constexpr const char* kAddressVariable = "GENTIANRUN_ADMIN";
constexpr const char* kKeyFileVariable = "GENTIANRUN_ADMIN_KEY_FILE";

std::string FromEnvironment(const char* name) {
  const char* const value = std::getenv(name);
  return value == nullptr ? "" : value;
}

void PrintHelp(const cxxopts::Options& options) {
  std::cout << options.help() << "\nCommands:\n";
  for (const admin_command& command : kCommands) {
    const std::string call =
        std::string(command.name) + " " + command.arguments;
    std::cout << "  " << call
              << std::string(call.size() < 36 ? 36 - call.size() : 1, ' ')
              << command.summary << "\n";
  }
  std::cout << "\n" << ExitCodeHelp();
}

cxxopts::Options MakeOptions() {
  cxxopts::Options options("gentianrun admin",
                           "Shows and changes the settings of a fleet");
  options.positional_help("COMMAND [ARGUMENTS]");
  options.add_options()("address",
                        "ip:port of a daemon's administration API (default: "
                        "the variable GENTIANRUN_ADMIN)",
                        cxxopts::value<std::string>())(
      "key-file",
      "File with the operator's key (default: the variable "
      "GENTIANRUN_ADMIN_KEY_FILE)",
      cxxopts::value<std::string>())(
      "tls", "Connect with TLS, checked against the system's authorities")(
      "tls-authorities", "Connect with TLS, checked against this PEM file",
      cxxopts::value<std::string>())(
      "timeout", "Longest wait for an answer",
      cxxopts::value<std::string>()->default_value("35s"))(
      "json", "Print JSON")("set", "SECTION:KEY=VALUE to set; can be repeated",
                            cxxopts::value<std::vector<std::string>>())(
      "unset", "SECTION:KEY to remove; can be repeated",
      cxxopts::value<std::vector<std::string>>())(
      "file", "File with the whole new settings, - for standard input",
      cxxopts::value<std::string>())("expect",
                                     "Fail unless this version is in force",
                                     cxxopts::value<std::uint64_t>())(
      "comment", "What the history says about a change",
      cxxopts::value<std::string>())("h,help", "Show this help")(
      "words", "", cxxopts::value<std::vector<std::string>>());
  options.parse_positional({"words"});
  return options;
}

template <typename Value>
Value Option(const cxxopts::ParseResult& parsed, const std::string& name) {
  return parsed.count(name) > 0 ? parsed[name].as<Value>() : Value();
}

// Finds the command and leaves its arguments in `words`.
const admin_command* TakeCommand(std::vector<std::string>& words) {
  for (const admin_command& command : kCommands) {
    const std::string name = command.name;
    const auto blank = name.find(' ');
    const std::size_t length = blank == std::string::npos ? 1 : 2;
    if (words.size() < length || words[0] != name.substr(0, blank) ||
        (length == 2 && words[1] != name.substr(blank + 1))) {
      continue;
    }
    words.erase(words.begin(),
                words.begin() + static_cast<std::ptrdiff_t>(length));
    return &command;
  }
  return nullptr;
}

result<std::string> ReadKey(const std::string& file) {
  result<std::string> key = ReadTextFile(file);
  if (!Failed(key)) {
    std::string& text = ValueOf(key);
    text.erase(text.find_last_not_of(" \t\r\n") + 1);
  }
  return key;
}

int Usage(const std::string& message) {
  std::cerr << "gentianrun admin: " << message
            << "; see gentianrun admin --help\n";
  return exit_usage;
}

int Run(const cxxopts::ParseResult& parsed) {
  admin_options options;
  options.arguments = Option<std::vector<std::string>>(parsed, "words");
  const admin_command* const command = TakeCommand(options.arguments);
  if (command == nullptr) {
    return Usage(options.arguments.empty()
                     ? "no command"
                     : "unknown command '" + options.arguments[0] + "'");
  }
  options.address = parsed.count("address") > 0
                        ? parsed["address"].as<std::string>()
                        : FromEnvironment(kAddressVariable);
  if (Failed(ParseEndpoint(options.address))) {
    return Usage("--address '" + options.address + "' is not ip:port");
  }
  const std::string key_file = parsed.count("key-file") > 0
                                   ? parsed["key-file"].as<std::string>()
                                   : FromEnvironment(kKeyFileVariable);
  const result<std::string> key = ReadKey(key_file);
  if (Failed(key)) {
    std::cerr << "gentianrun admin: --key-file: " << ErrorOf(key).message
              << "\n";
    return exit_file;
  }
  const auto timeout =
      ParseValue(value_rule{value_type::duration, 1, 3'600'000},
                 parsed["timeout"].as<std::string>());
  if (const auto* mistake = std::get_if<value_mistake>(&timeout)) {
    return Usage("--timeout: " + mistake->reason + "; " + mistake->remedy);
  }
  options.timeout = std::get<milliseconds>(std::get<parsed_value>(timeout));
  options.key = ValueOf(key);
  options.tls = parsed.count("tls") > 0;
  options.authorities = Option<std::string>(parsed, "tls-authorities");
  options.as_json = parsed.count("json") > 0;
  options.set = Option<std::vector<std::string>>(parsed, "set");
  options.unset = Option<std::vector<std::string>>(parsed, "unset");
  options.file = Option<std::string>(parsed, "file");
  options.comment = Option<std::string>(parsed, "comment");
  if (parsed.count("expect") > 0) {
    options.expected_version = parsed["expect"].as<std::uint64_t>();
  }
  admin_session session(std::move(options));
  return command->run(session);
}

}  // namespace

int RunAdmin(int argc, char** argv) {
  cxxopts::Options options = MakeOptions();
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      PrintHelp(options);
      return exit_ok;
    }
    return Run(parsed);
  } catch (const cxxopts::exceptions::exception& failure) {
    return Usage(failure.what());
  }
}

}  // namespace gentian
