#include <array>
#include <cstdio>
#include <utility>

#include "gentian_app/admin_commands.h"
#include "gentian_app/exit_code.h"
#include "gentian_app/text_table.h"

namespace gentian {

namespace {

constexpr const char* kKeyPrefix = "key.";
constexpr int kKeyWords = 4;
// Other operators' changes can come between reading and removing.
constexpr int kRemovalAttempts = 5;

// 256 random bits.
std::string MakeKey() {
  system_random random;
  std::string key = "gr_";
  for (int i = 0; i < kKeyWords; ++i) {
    std::array<char, 17> digits{};
    std::snprintf(digits.data(), digits.size(), "%016llx",
                  static_cast<unsigned long long>(random.Next()));
    key += digits.data();
  }
  return key;
}

struct key_name {
  std::string section;
  std::string key;
};

std::optional<key_name> KeyArgument(const admin_session& session) {
  const std::vector<std::string>& words = session.options().arguments;
  if (words.size() != 2 || !IsSectionPath("/teams/" + words[0]) ||
      !IsSectionPath("/" + words[1]) ||
      words[1].find('/') != std::string::npos) {
    return std::nullopt;
  }
  return key_name{"/teams/" + words[0], kKeyPrefix + words[1]};
}

int FailArguments(const admin_session& session, const std::string& command) {
  session.Fail(error{error_kind::malformed_request,
                     "a team and a label are needed",
                     "write " + command +
                         " TEAM LABEL with a label of letters, digits, _, - "
                         "and ."});
  return exit_usage;
}

const std::string* FindKeyHash(const settings_tree& tree,
                               const key_name& name) {
  const auto section = tree.sections().find(name.section);
  if (section == tree.sections().end()) {
    return nullptr;
  }
  const auto value = section->second.find(name.key);
  return value == section->second.end() ? nullptr : &value->second;
}

// Granting a key must not create a team by a misspelt name.
std::optional<error> GrantProblem(const settings_tree& tree,
                                  const key_name& name) {
  if (tree.sections().count(name.section) == 0) {
    return error{error_kind::invalid_settings,
                 "there is no section " + name.section,
                 "`gentianrun admin settings` lists the teams"};
  }
  if (FindKeyHash(tree, name) != nullptr) {
    return error{error_kind::conflict,
                 name.section + " already has " + name.key,
                 "choose another label, or withdraw that key first"};
  }
  return std::nullopt;
}

// Removes the hash from the settings after the key has been withdrawn.
std::variant<std::uint64_t, int> RemoveKey(admin_session& session,
                                           const key_name& name) {
  for (int attempt = 1;; ++attempt) {
    const result<settings_snapshot> now = session.ReadSettings();
    if (Failed(now)) {
      return session.Fail(ErrorOf(now));
    }
    settings_tree after = ValueOf(now).tree;
    // A section exists while it has values; a team that only had this key
    // stays a team.
    const auto& values = after.sections().find(name.section);
    if (values != after.sections().end() && values->second.size() == 1) {
      after.Apply({{name.section, "team", "yes"}});
    }
    after.Apply({{name.section, name.key, std::nullopt}});
    if (ValueOf(now).tree.DifferenceTo(after).empty()) {
      return ValueOf(now).version;
    }
    const result<json> answer = session.Post(
        "changes", {{"expected_version", ValueOf(now).version},
                    {"comment", "withdraw " + name.section + " " + name.key},
                    {"changes", ValueOf(now).tree.DifferenceTo(after)}});
    if (!Failed(answer)) {
      return ValueOf(answer).value("version", ValueOf(now).version + 1);
    }
    if (ErrorOf(answer).kind != error_kind::conflict ||
        attempt == kRemovalAttempts) {
      return session.Fail(ErrorOf(answer));
    }
  }
}

}  // namespace

int GrantKey(admin_session& session) {
  const auto name = KeyArgument(session);
  if (!name) {
    return FailArguments(session, "key grant");
  }
  const result<settings_snapshot> now = session.ReadSettings();
  if (Failed(now)) {
    return session.Fail(ErrorOf(now));
  }
  if (const auto problem = GrantProblem(ValueOf(now).tree, *name)) {
    return session.Fail(*problem);
  }
  const std::string key = MakeKey();
  const std::string hash = Sha256Hex(key);
  settings_tree after = ValueOf(now).tree;
  after.Apply({{name->section, name->key, hash}});
  const auto sent = SendChange(session, ValueOf(now), after,
                               "grant " + name->section + " " + name->key);
  if (const int* const code = std::get_if<int>(&sent)) {
    return *code;
  }
  const std::uint64_t version = std::get<std::uint64_t>(sent);
  session.Print(json{{"key", key}, {"key_hash", hash}, {"version", version}},
                "key: " + key + "\nsha-256: " + hash +
                    "\nversion: " + std::to_string(version) +
                    "\nThe key is shown only now; nothing keeps it.\n");
  return exit_ok;
}

int ListKeys(admin_session& session) {
  const result<settings_snapshot> now = session.ReadSettings();
  if (Failed(now)) {
    return session.Fail(ErrorOf(now));
  }
  const std::vector<std::string>& words = session.options().arguments;
  const std::string only = words.empty() ? "" : "/teams/" + words[0];
  json keys = json::array();
  for (const auto& [section, values] : ValueOf(now).tree.sections()) {
    if (!IsBelow(section, "/teams") || (!only.empty() && section != only)) {
      continue;
    }
    for (const auto& [key, value] : values) {
      if (key.rfind(kKeyPrefix, 0) == 0) {
        keys.push_back({{"team", section.substr(7)},
                        {"label", key.substr(4)},
                        {"sha_256", value}});
      }
    }
  }
  session.Print(json{{"version", ValueOf(now).version}, {"keys", keys}},
                keys.empty() ? "no keys\n" : FormatRecords(keys));
  return exit_ok;
}

int WithdrawKey(admin_session& session) {
  const auto name = KeyArgument(session);
  if (!name) {
    return FailArguments(session, "key withdraw");
  }
  const result<settings_snapshot> now = session.ReadSettings();
  if (Failed(now)) {
    return session.Fail(ErrorOf(now));
  }
  const std::string* const hash = FindKeyHash(ValueOf(now).tree, *name);
  if (hash == nullptr) {
    return session.Fail(error{error_kind::invalid_settings,
                              name->section + " has no " + name->key,
                              "`gentianrun admin key list` lists the keys"});
  }
  // First the withdrawal, which takes effect at once and needs no version.
  const result<json> withdrawn =
      session.Post("keys/withdraw", {{"key_hash", *hash}});
  if (Failed(withdrawn)) {
    return session.Fail(ErrorOf(withdrawn));
  }
  const auto removed = RemoveKey(session, *name);
  json answer = ValueOf(withdrawn);
  const auto* const version = std::get_if<std::uint64_t>(&removed);
  answer["removed_in_version"] = version == nullptr ? json() : json(*version);
  session.Print(answer, FormatRecords(answer));
  const bool everywhere = answer.value("not_confirmed", json::array()).empty();
  return everywhere && answer.value("durable", false) && version != nullptr
             ? exit_ok
             : exit_incomplete;
}

int ShowStatus(admin_session& session) {
  const result<json> status = session.Get("status");
  if (Failed(status)) {
    return session.Fail(ErrorOf(status));
  }
  // Plain values first, then one table a topic.
  std::string text;
  std::string tables;
  for (const auto& [name, value] : ValueOf(status).items()) {
    if (!value.is_structured()) {
      text += name + ": " + CellText(value) + "\n";
    } else if (!value.empty()) {
      tables += "\n" + name + "\n" + FormatRecords(value);
    }
  }
  session.Print(ValueOf(status), text + tables);
  return exit_ok;
}

}  // namespace gentian
