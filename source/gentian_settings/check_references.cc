#include <map>

#include "gentian_settings/nearest_name.h"
#include "gentian_settings/problem_list.h"
#include "gentian_settings/section_path.h"

namespace gentian::detail {

namespace {

template <typename Id, typename Value>
std::vector<std::string> Names(const std::map<Id, Value>& all) {
  std::vector<std::string> names;
  for (const auto& [id, value] : all) {
    if constexpr (std::is_same_v<Id, std::string>) {
      names.push_back(id);
    } else {
      names.push_back(id.text());
    }
  }
  return names;
}

class reference_checks {
 public:
  reference_checks(const settings_tree& tree,
                   const configuration& settings,
                   problem_list& problems)
      : tree_(tree), settings_(settings), problems_(problems) {}

  void Run() {
    CheckTeams();
    CheckPrograms();
    CheckPools();
    CheckTools();
    CheckRoutes();
    CheckDaemons();
  }

 private:
  // Reports at the section that sets the value, which may be one above.
  void Add(const std::string& section,
           const std::string& key,
           std::string reason,
           std::string remedy) {
    const auto found = tree_.Find(section, key);
    problems_.Add(found ? found->origin : section, key, std::move(reason),
                  std::move(remedy));
  }

  void AddUnknown(const std::string& section,
                  const std::string& key,
                  const std::string& what,
                  const std::string& name,
                  const std::vector<std::string>& known) {
    const std::string nearest = NearestName(name, known);
    Add(section, key, "there is no " + what + " '" + name + "'",
        nearest.empty() ? "add a section for it"
                        : "did you mean '" + nearest + "'?");
  }

  // An empty name was reported as missing.
  void CheckPool(const std::string& section,
                 const pool_id& pool,
                 target_kind kind) {
    if (pool.empty()) {
      return;
    }
    const auto found = settings_.pools.find(pool);
    if (found == settings_.pools.end()) {
      AddUnknown(section, "pool", "pool", pool.text(), Names(settings_.pools));
      return;
    }
    if (found->second.kind != kind) {
      const std::string wanted =
          kind == target_kind::engine ? "engine" : "tool_service";
      Add(section, "pool", "pool '" + pool.text() + "' is of another kind",
          "name a pool with kind = " + wanted);
    }
  }

  void CheckTeams() {
    std::map<std::string, std::string> owners;
    for (const auto& [id, team] : settings_.teams) {
      const std::string section = "/teams/" + id.text();
      for (const program_id& program : team.programs) {
        if (settings_.programs.count(program) == 0) {
          AddUnknown(section, "programs", "program", program.text(),
                     Names(settings_.programs));
        }
      }
      for (const std::string& hash : team.key_hashes) {
        const auto [owner, added] = owners.emplace(hash, section);
        if (!added) {
          Add(section, KeyWithHash(section, hash),
              "the key also belongs to " + owner->second,
              "grant each team its own key");
        }
      }
    }
  }

  std::string KeyWithHash(const std::string& section,
                          const std::string& hash) const {
    for (const auto& [key, value] : tree_.sections().at(section)) {
      if (value == hash) {
        return key;
      }
    }
    return {};
  }

  void CheckPrograms() {
    for (const auto& [id, program] : settings_.programs) {
      const std::string section = "/programs/" + id.text();
      CheckPool(section, program.pool, target_kind::engine);
      for (const std::string& tool : program.tools) {
        if (settings_.tools.count(tool) == 0) {
          AddUnknown(section, "tools", "tool", tool, Names(settings_.tools));
        }
      }
    }
  }

  void CheckPools() {
    for (const auto& [id, pool] : settings_.pools) {
      if (pool.kind == target_kind::engine && pool.model.empty()) {
        problems_.Add("/pools/" + id.text(), "model",
                      "a pool of engines needs a model",
                      "set model, or kind = tool_service");
      }
    }
  }

  void CheckTools() {
    for (const auto& [name, tool] : settings_.tools) {
      CheckPool("/tools/" + name, tool.pool, target_kind::tool_service);
    }
  }

  void CheckRoutes() {
    std::map<std::string, std::string> owners;
    for (const auto& [section, values] : tree_.sections()) {
      if (!IsBelow(section, "/routes")) {
        continue;
      }
      const auto prefix = values.find("prefix");
      if (prefix == values.end()) {
        continue;
      }
      CheckPrefix(section, prefix->second);
      const auto [owner, added] = owners.emplace(prefix->second, section);
      if (!added) {
        Add(section, "prefix", "the prefix is also that of " + owner->second,
            "give each route its own prefix");
      }
      const auto pool = tree_.Find(section, "pool");
      CheckPool(section, pool_id(pool ? pool->value : ""),
                target_kind::tool_service);
    }
  }

  // The callers' interface serves these paths itself.
  void CheckPrefix(const std::string& section, const std::string& prefix) {
    static const std::vector<std::string> reserved = {"/v1", "/health",
                                                      "/ready", "/metrics"};
    for (const std::string& path : reserved) {
      if (prefix == "/" || prefix == path || IsBelow(prefix, path)) {
        Add(section, "prefix", "the prefix hides the callers' interface",
            "use a prefix other than /, /v1, /health, /ready and /metrics");
        return;
      }
    }
  }

  void CheckDaemons() {
    std::map<std::string, std::string> owners;
    for (const auto& [host, daemon] : settings_.daemons) {
      const std::string section = "/daemons/" + host.text();
      CheckAddress(section, "peer_address", daemon.peer_address, owners);
      CheckAddress(section, "caller_address", daemon.caller_address, owners);
    }
  }

  void CheckAddress(const std::string& section,
                    const std::string& key,
                    const std::string& address,
                    std::map<std::string, std::string>& owners) {
    if (address.empty()) {
      return;
    }
    const auto [owner, added] = owners.emplace(address, section + " " + key);
    if (!added) {
      Add(section, key, "the address is also " + owner->second,
          "give each interface its own address and port");
    }
  }

  const settings_tree& tree_;
  const configuration& settings_;
  problem_list& problems_;
};

}  // namespace

void CheckReferences(const settings_tree& tree,
                     const configuration& settings,
                     problem_list& problems) {
  reference_checks(tree, settings, problems).Run();
}

}  // namespace gentian::detail
