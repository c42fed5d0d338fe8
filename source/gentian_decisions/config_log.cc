#include "gentian_decisions/config_log.h"

#include <utility>

namespace gentian {

namespace {

// Enough for every daemon that was away for less than an hour at 21,000
// changes a day; others get a snapshot.
constexpr std::size_t kKept = 1'024;

}  // namespace

config_log::config_log(configuration initial,
                       settings_tree tree,
                       configuration_builder builder)
    : in_force_(std::move(initial)),
      tree_(std::move(tree)),
      builder_(std::move(builder)),
      version_(in_force_.version) {}

void config_log::Add(const config_record& record) {
  if (record.version > version_) {
    pending_.emplace(record.version, record.changes);
  }
  for (auto next = pending_.begin();
       next != pending_.end() && next->first == version_ + 1;
       next = pending_.begin()) {
    tree_.Apply(next->second.changes);
    version_ = next->first;
    kept_[version_] = std::move(next->second);
    pending_.erase(next);
    changed_ = true;
  }
  while (kept_.size() > kKept) {
    kept_.erase(kept_.begin());
  }
}

void config_log::Use(const config_snapshot& snapshot, bool same_version) {
  const bool newer = snapshot.version > version_;
  if (!newer && !(same_version && snapshot.version == version_)) {
    return;
  }
  tree_ = settings_tree();
  tree_.Apply(snapshot.tree);
  version_ = snapshot.version;
  changed_ = true;
  kept_.clear();
  pending_.erase(pending_.begin(), pending_.upper_bound(version_));
}

bool config_log::PutInForce(node_context& context) {
  if (!std::exchange(changed_, false)) {
    return false;
  }
  auto built = builder_(tree_, version_);
  if (auto* next = std::get_if<configuration>(&built)) {
    in_force_ = std::move(*next);
    in_force_.version = version_;
    return true;
  }
  // The accepting daemon has checked the version, so this daemon runs another
  // program version. It keeps its configuration and lags in the rollout.
  const auto& problems = std::get<std::vector<settings_problem>>(built);
  json fields{{"version", version_}};
  if (!problems.empty()) {
    fields["section"] = problems.front().section;
    fields["reason"] = problems.front().reason;
  }
  context.counters.Add("config.not_usable");
  context.Emit(write_log{log_level::error,
                         "an accepted configuration can not be used; run the "
                         "same program version on all daemons",
                         std::move(fields)});
  return false;
}

std::variant<configuration, std::vector<settings_problem>> config_log::Check(
    const settings_change_set& changes) const {
  settings_tree next = tree_;
  next.Apply(changes.changes);
  return builder_(next, version_ + 1);
}

std::optional<std::vector<config_record>> config_log::After(
    std::uint64_t version) const {
  std::vector<config_record> records;
  for (std::uint64_t next = version + 1; next <= version_; ++next) {
    const auto found = kept_.find(next);
    if (found == kept_.end()) {
      return std::nullopt;
    }
    records.push_back({next, found->second});
  }
  return records;
}

std::vector<config_record> config_log::NewestFirst(
    std::uint64_t from_version) const {
  std::vector<config_record> records;
  for (auto it = kept_.rbegin(); it != kept_.rend(); ++it) {
    if (it->first >= from_version) {
      records.push_back({it->first, it->second});
    }
  }
  return records;
}

config_snapshot config_log::Snapshot() const {
  config_snapshot snapshot;
  snapshot.version = version_;
  for (const auto& [section, values] : tree_.sections()) {
    for (const auto& [key, value] : values) {
      snapshot.tree.push_back({section, key, value});
    }
  }
  return snapshot;
}

}  // namespace gentian
