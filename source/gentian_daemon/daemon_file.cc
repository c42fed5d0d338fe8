#include "gentian_daemon/daemon_file.h"

#include <algorithm>
#include <utility>

#include "gentian_settings/ini_reader.h"
#include "gentian_settings/nearest_name.h"

namespace gentian {

namespace {

const daemon_file_section* FindSection(const std::string& name) {
  for (const daemon_file_section& section : DaemonFileSections()) {
    if (section.name == name) {
      return &section;
    }
  }
  return nullptr;
}

std::string Suggest(const std::string& wrong,
                    const std::vector<std::string>& known) {
  const std::string nearest = NearestName(wrong, known);
  if (!nearest.empty()) {
    return "did you mean '" + nearest + "'?";
  }
  std::string all;
  for (const std::string& name : known) {
    all += (all.empty() ? "" : ", ") + name;
  }
  return "use one of: " + all;
}

class daemon_file_builder {
 public:
  daemon_file_builder(ini_reading reading, std::string file)
      : reading_(std::move(reading)), file_(std::move(file)) {}

  daemon_options Build() {
    daemon_options built;
    CheckSections();
    for (const daemon_file_section& section : DaemonFileSections()) {
      Fill(section, built);
    }
    CheckContradictions(built);
    return built;
  }

  std::vector<settings_problem> TakeProblems() {
    std::stable_sort(reading_.problems.begin(), reading_.problems.end(),
                     [](const settings_problem& a, const settings_problem& b) {
                       return a.line < b.line;
                     });
    return std::move(reading_.problems);
  }

 private:
  void Report(int line,
              const std::string& section,
              const std::string& key,
              std::string reason,
              std::string remedy) {
    reading_.problems.push_back(
        {file_, line, section, key, std::move(reason), std::move(remedy)});
  }

  void CheckSections() {
    std::vector<std::string> names;
    for (const daemon_file_section& known : DaemonFileSections()) {
      names.push_back(known.name);
    }
    for (const ini_section& section : reading_.sections) {
      if (FindSection(section.name) == nullptr) {
        Report(section.line, section.name, "", "unknown section",
               Suggest(section.name, names));
      }
    }
  }

  void Fill(const daemon_file_section& section, daemon_options& built) {
    CheckKeys(section);
    for (const settings_field<daemon_options>& field : section.fields) {
      bool found = false;
      for (const ini_entry& entry : reading_.entries) {
        if (entry.section == section.name && field.key.Matches(entry.key)) {
          found = true;
          Store(field, entry, built);
        }
      }
      if (!found) {
        FillMissing(section, field, built);
      }
    }
  }

  void CheckKeys(const daemon_file_section& section) {
    std::vector<std::string> names;
    for (const settings_field<daemon_options>& field : section.fields) {
      names.push_back(field.key.name);
    }
    for (const ini_entry& entry : reading_.entries) {
      const bool known =
          entry.section != section.name ||
          std::any_of(section.fields.begin(), section.fields.end(),
                      [&](const settings_field<daemon_options>& field) {
                        return field.key.Matches(entry.key);
                      });
      if (!known) {
        Report(entry.line, entry.section, entry.key, "unknown key",
               Suggest(entry.key, names));
      }
    }
  }

  void Store(const settings_field<daemon_options>& field,
             const ini_entry& entry,
             daemon_options& built) {
    const auto parsed = ParseValue(field.key.rule, entry.value);
    if (const auto* mistake = std::get_if<value_mistake>(&parsed)) {
      Report(entry.line, entry.section, entry.key, mistake->reason,
             mistake->remedy);
      return;
    }
    field.assign(built, std::get<parsed_value>(parsed));
    if (field.key.name == "key.*") {
      StoreOperator(entry, built);
    } else if (field.key.name == "peer.*") {
      const host_id host(entry.key.substr(std::string("peer.").size()));
      built.peers.push_back({host, entry.value});
    }
  }

  void StoreOperator(const ini_entry& entry, daemon_options& built) {
    const std::string name = entry.key.substr(std::string("key.").size());
    const auto [owner, added] =
        built.operators_by_key_hash.emplace(entry.value, name);
    if (!added) {
      Report(entry.line, entry.section, entry.key,
             "the key also belongs to operator " + owner->second,
             "give each operator their own key");
    }
  }

  void FillMissing(const daemon_file_section& section,
                   const settings_field<daemon_options>& field,
                   daemon_options& built) {
    if (field.key.need == presence::required) {
      Report(LineOf(section.name), section.name, field.key.name,
             "the key is missing", "add it: " + field.key.description);
    } else if (field.key.need == presence::defaulted) {
      const auto parsed = ParseValue(field.key.rule, field.key.default_text);
      field.assign(built, std::get<parsed_value>(parsed));
    }
  }

  int LineOf(const std::string& name) const {
    for (const ini_section& section : reading_.sections) {
      if (section.name == name) {
        return section.line;
      }
    }
    return 0;
  }

  void CheckContradictions(const daemon_options& built) {
    if (built.caller_tls.certificate.empty() !=
        built.caller_tls.private_key.empty()) {
      Report(LineOf("tls"), "tls", "",
             "a certificate and its private key belong together",
             "set both certificate and private_key, or none");
    }
    if (!built.admin_address.empty() && built.operators_by_key_hash.empty()) {
      Report(LineOf("admin"), "admin", "",
             "the administration API has an address but no key",
             "add key.<operator> = SHA-256 of a key");
    }
    for (const peer_address& peer : built.peers) {
      if (peer.host == built.host) {
        Report(LineOf("peers"), "peers", "peer." + peer.host.text(),
               "the daemon lists itself as a peer", "remove the line");
      }
    }
  }

  ini_reading reading_;
  std::string file_;
};

}  // namespace

std::variant<daemon_options, std::vector<settings_problem>> ParseDaemonFile(
    const std::string& text,
    const std::string& file) {
  daemon_file_builder builder(ReadIni(text, file), file);
  daemon_options built = builder.Build();
  std::vector<settings_problem> problems = builder.TakeProblems();
  if (!problems.empty()) {
    return problems;
  }
  return built;
}

bool IsDaemonFile(const std::string& text) {
  const ini_reading reading = ReadIni(text, "");
  return std::any_of(reading.sections.begin(), reading.sections.end(),
                     [](const ini_section& section) {
                       return FindSection(section.name) != nullptr;
                     });
}

}  // namespace gentian
