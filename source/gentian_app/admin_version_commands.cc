#include <charconv>
#include <utility>

#include "gentian_app/admin_commands.h"
#include "gentian_app/exit_code.h"
#include "gentian_app/text_table.h"

namespace gentian {

namespace {

std::optional<std::uint64_t> VersionArgument(const admin_session& session) {
  const std::vector<std::string>& words = session.options().arguments;
  std::uint64_t version = 0;
  if (words.size() != 1) {
    return std::nullopt;
  }
  const char* const end = words[0].data() + words[0].size();
  const auto parsed = std::from_chars(words[0].data(), end, version);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return version;
}

int FailVersion(const admin_session& session, const char* usage) {
  session.Fail(error{error_kind::malformed_request,
                     "a version number is needed", usage});
  return exit_usage;
}

result<std::vector<accepted_change>> ReadHistory(admin_session& session,
                                                 std::uint64_t from) {
  const result<json> answer =
      session.Get("changes?from=" + std::to_string(from));
  if (Failed(answer)) {
    return ErrorOf(answer);
  }
  try {
    return ValueOf(answer).at("changes").get<std::vector<accepted_change>>();
  } catch (const json::exception&) {
    return error{error_kind::internal, "the history can not be read",
                 "use the gentianrun version that the daemons run"};
  }
}

std::string Describe(const settings_change& change) {
  return change.section + ":" + change.key +
         (change.value ? "=" + *change.value : " removed");
}

std::string FormatHistory(const std::vector<accepted_change>& history) {
  std::string text;
  for (const accepted_change& change : history) {
    text += std::to_string(change.version) + "  " + change.changes.author;
    if (!change.changes.comment.empty()) {
      text += "  " + change.changes.comment;
    }
    text += "\n";
    for (const settings_change& value : change.changes.changes) {
      text += "    " + Describe(value) + "\n";
    }
  }
  return text.empty() ? "no changes\n" : text;
}

int SendRollback(admin_session& session,
                 const settings_snapshot& now,
                 const settings_tree& wanted,
                 std::uint64_t version) {
  if (now.tree.DifferenceTo(wanted).empty()) {
    session.Print(json{{"version", now.version}, {"changed", false}},
                  "nothing to undo\n");
    return exit_ok;
  }
  std::string comment = "undo all changes after " + std::to_string(version);
  if (!session.options().comment.empty()) {
    comment += ": " + session.options().comment;
  }
  const auto sent = SendChange(session, now, wanted, comment);
  if (const int* const code = std::get_if<int>(&sent)) {
    return *code;
  }
  const std::uint64_t accepted = std::get<std::uint64_t>(sent);
  session.Print(json{{"version", accepted}, {"changed", true}},
                "version " + std::to_string(accepted) +
                    " restores the settings of version " +
                    std::to_string(version) + "\n");
  return exit_ok;
}

}  // namespace

int ShowHistory(admin_session& session) {
  std::uint64_t from = 0;
  if (!session.options().arguments.empty()) {
    const auto version = VersionArgument(session);
    if (!version) {
      return FailVersion(session, "write history [FROM-VERSION]");
    }
    from = *version;
  }
  const auto history = ReadHistory(session, from);
  if (Failed(history)) {
    return session.Fail(ErrorOf(history));
  }
  session.Print(json{{"changes", ValueOf(history)}},
                FormatHistory(ValueOf(history)));
  return exit_ok;
}

int RollBack(admin_session& session) {
  const auto version = VersionArgument(session);
  if (!version) {
    return FailVersion(session, "write rollback VERSION");
  }
  const result<settings_snapshot> now = session.ReadSettings();
  if (Failed(now)) {
    return session.Fail(ErrorOf(now));
  }
  if (*version >= ValueOf(now).version) {
    return FailVersion(session, "name a version before the one in force");
  }
  const auto history = ReadHistory(session, 0);
  if (Failed(history)) {
    return session.Fail(ErrorOf(history));
  }
  const auto wanted = TreeOfVersion(ValueOf(history), *version);
  if (Failed(wanted)) {
    return session.Fail(ErrorOf(wanted));
  }
  return SendRollback(session, ValueOf(now), ValueOf(wanted), *version);
}

int ShowRollout(admin_session& session) {
  auto version = VersionArgument(session);
  if (!version && !session.options().arguments.empty()) {
    return FailVersion(session, "write rollout [VERSION]");
  }
  if (!version) {
    const result<settings_snapshot> now = session.ReadSettings();
    if (Failed(now)) {
      return session.Fail(ErrorOf(now));
    }
    version = ValueOf(now).version;
  }
  const result<json> answer =
      session.Get("rollout?version=" + std::to_string(*version));
  if (Failed(answer)) {
    return session.Fail(ErrorOf(answer));
  }
  session.Print(ValueOf(answer), FormatRecords(ValueOf(answer)));
  const json lagging = ValueOf(answer).value("lagging", json::object());
  const json silent = ValueOf(answer).value("no_answer", json::array());
  return lagging.empty() && silent.empty() ? exit_ok : exit_incomplete;
}

}  // namespace gentian
