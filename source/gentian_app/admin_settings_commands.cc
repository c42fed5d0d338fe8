#include <iostream>
#include <utility>

#include "gentian_app/admin_commands.h"
#include "gentian_app/exit_code.h"
#include "gentian_app/text_file.h"
#include "gentian_app/text_table.h"

namespace gentian {

namespace {

error Usage(std::string message, std::string remedy) {
  return error{error_kind::malformed_request, std::move(message),
               std::move(remedy)};
}

int FailUsage(const admin_session& session, const error& reason) {
  session.Fail(reason);
  return exit_usage;
}

// `SECTION:KEY`: sections can not contain a colon.
result<settings_change> ParseTarget(const std::string& text) {
  const auto colon = text.find(':');
  if (colon == std::string::npos || colon == 0 || colon + 1 == text.size()) {
    return Usage("'" + text + "' does not name a section and a key",
                 "write SECTION:KEY, for example /teams/large:rate");
  }
  return settings_change{text.substr(0, colon), text.substr(colon + 1),
                         std::nullopt};
}

result<settings_change> ParseSet(const std::string& text) {
  const auto equals = text.find('=');
  if (equals == std::string::npos) {
    return Usage("'" + text + "' has no value",
                 "write SECTION:KEY=VALUE, or use --unset");
  }
  result<settings_change> change = ParseTarget(text.substr(0, equals));
  if (!Failed(change)) {
    ValueOf(change).value = text.substr(equals + 1);
  }
  return change;
}

result<std::vector<settings_change>> ParseChanges(
    const admin_options& options) {
  std::vector<settings_change> changes;
  for (const std::string& text : options.set) {
    const auto change = ParseSet(text);
    if (Failed(change)) {
      return ErrorOf(change);
    }
    changes.push_back(ValueOf(change));
  }
  for (const std::string& text : options.unset) {
    const auto change = ParseTarget(text);
    if (Failed(change)) {
      return ErrorOf(change);
    }
    changes.push_back(ValueOf(change));
  }
  return changes;
}

// The tree that the command line asks for, or the exit code of what was
// printed.
std::variant<settings_tree, int> WantedTree(const admin_session& session,
                                            const settings_tree& current) {
  const admin_options& options = session.options();
  const bool values = !options.set.empty() || !options.unset.empty();
  if (values == !options.file.empty()) {
    return FailUsage(session,
                     Usage("no change, or both a file and values are given",
                           "use --set and --unset, or --file FILE"));
  }
  if (values) {
    const auto changes = ParseChanges(options);
    if (Failed(changes)) {
      return FailUsage(session, ErrorOf(changes));
    }
    settings_tree tree = current;
    tree.Apply(ValueOf(changes));
    return tree;
  }
  const result<std::string> text = ReadTextFile(options.file);
  if (Failed(text)) {
    session.Fail(ErrorOf(text));
    return static_cast<int>(exit_file);
  }
  std::vector<settings_problem> problems =
      CheckSettings(ValueOf(text), options.file);
  if (!problems.empty()) {
    return session.Fail(problems);
  }
  return std::get<settings_tree>(ParseSettings(ValueOf(text), options.file));
}

std::string Describe(const std::optional<effective_value>& value) {
  return value ? value->value + " (" + value->origin + ")" : "-";
}

std::string FormatChanges(const std::vector<effective_change>& changes) {
  if (changes.empty()) {
    return "nothing changes\n";
  }
  std::vector<std::vector<std::string>> rows = {
      {"section", "key", "before (from)", "after (from)"}};
  for (const effective_change& change : changes) {
    rows.push_back({change.section, change.key, Describe(change.before),
                    Describe(change.after)});
  }
  return FormatTable(rows);
}

// A change that was prepared against an older version must not be shown or
// made against a newer one.
std::optional<error> VersionConflict(const admin_session& session,
                                     const settings_snapshot& snapshot) {
  const auto expected = session.options().expected_version;
  if (!expected || *expected == snapshot.version) {
    return std::nullopt;
  }
  return error{error_kind::conflict,
               "version " + std::to_string(snapshot.version) +
                   " is in force, not " + std::to_string(*expected),
               "look at `gentianrun admin history`, then prepare the change "
               "again"};
}

}  // namespace

int ShowSettings(admin_session& session) {
  const result<settings_snapshot> snapshot = session.ReadSettings();
  if (Failed(snapshot)) {
    return session.Fail(ErrorOf(snapshot));
  }
  const auto& [version, tree] = ValueOf(snapshot);
  session.Print(json{{"version", version}, {"settings", tree}},
                "# version " + std::to_string(version) + "\n" + tree.ToIni());
  return exit_ok;
}

int ShowValue(admin_session& session) {
  const std::vector<std::string>& words = session.options().arguments;
  if (words.size() != 2) {
    return FailUsage(session, Usage("a section and a key are needed",
                                    "write get SECTION KEY"));
  }
  if (FindKey(RoleOf(words[0]), words[1]) == nullptr) {
    return FailUsage(session,
                     Usage("section " + words[0] + " has no key " + words[1],
                           "docs/operators.md lists sections and keys"));
  }
  const result<settings_snapshot> snapshot = session.ReadSettings();
  if (Failed(snapshot)) {
    return session.Fail(ErrorOf(snapshot));
  }
  const auto value = EffectiveValue(ValueOf(snapshot).tree, words[0], words[1]);
  session.Print(
      json{{"version", ValueOf(snapshot).version},
           {"section", words[0]},
           {"key", words[1]},
           {"effective", value}},
      value ? value->value + "  (from " + value->origin + ")\n" : "no value\n");
  return exit_ok;
}

int ShowDifference(admin_session& session) {
  const result<settings_snapshot> snapshot = session.ReadSettings();
  if (Failed(snapshot)) {
    return session.Fail(ErrorOf(snapshot));
  }
  if (const auto conflict = VersionConflict(session, ValueOf(snapshot))) {
    return session.Fail(*conflict);
  }
  const settings_tree& current = ValueOf(snapshot).tree;
  const auto wanted = WantedTree(session, current);
  if (const int* const code = std::get_if<int>(&wanted)) {
    return *code;
  }
  const auto& tree = std::get<settings_tree>(wanted);
  const auto built = BuildConfiguration(tree, 0);
  if (const auto* problems =
          std::get_if<std::vector<settings_problem>>(&built)) {
    return session.Fail(*problems);
  }
  const auto changes = EffectiveChanges(current, tree);
  const std::uint64_t version = ValueOf(snapshot).version;
  session.Print(json{{"version", version},
                     {"changes", current.DifferenceTo(tree)},
                     {"effective", changes}},
                "against version " + std::to_string(version) + ":\n" +
                    FormatChanges(changes));
  return exit_ok;
}

int ApplyChange(admin_session& session) {
  const result<settings_snapshot> snapshot = session.ReadSettings();
  if (Failed(snapshot)) {
    return session.Fail(ErrorOf(snapshot));
  }
  if (const auto conflict = VersionConflict(session, ValueOf(snapshot))) {
    return session.Fail(*conflict);
  }
  const settings_tree& current = ValueOf(snapshot).tree;
  const auto wanted = WantedTree(session, current);
  if (const int* const code = std::get_if<int>(&wanted)) {
    return *code;
  }
  const auto& tree = std::get<settings_tree>(wanted);
  if (current.DifferenceTo(tree).empty()) {
    session.Print(
        json{{"version", ValueOf(snapshot).version}, {"changed", false}},
        "nothing to change\n");
    return exit_ok;
  }
  const auto sent =
      SendChange(session, ValueOf(snapshot), tree, session.options().comment);
  if (const int* const code = std::get_if<int>(&sent)) {
    return *code;
  }
  const std::uint64_t version = std::get<std::uint64_t>(sent);
  session.Print(json{{"version", version}, {"changed", true}},
                "version " + std::to_string(version) + " is accepted\n");
  return exit_ok;
}

std::variant<std::uint64_t, int> SendChange(admin_session& session,
                                            const settings_snapshot& before,
                                            const settings_tree& after,
                                            const std::string& comment) {
  const auto built = BuildConfiguration(after, before.version + 1);
  if (const auto* problems =
          std::get_if<std::vector<settings_problem>>(&built)) {
    return session.Fail(*problems);
  }
  const result<json> answer =
      session.Post("changes", {{"expected_version", before.version},
                               {"comment", comment},
                               {"changes", before.tree.DifferenceTo(after)}});
  if (Failed(answer)) {
    return session.Fail(ErrorOf(answer));
  }
  return ValueOf(answer).value("version", before.version + 1);
}

}  // namespace gentian
