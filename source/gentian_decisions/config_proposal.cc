// The operators' side of config_store: proposals and snapshots.
#include <utility>

#include "gentian_decisions/config_keys.h"
#include "gentian_decisions/config_store.h"

namespace gentian {

namespace {

using status = kv_answer::status;

constexpr std::uint64_t kSnapshotEvery = 256;
constexpr auto kPriority = kv_access::priority::configuration;

error Conflict(std::uint64_t version) {
  return error{
      error_kind::conflict,
      "the configuration has moved on to version " + std::to_string(version),
      "read the settings again and repeat the change"};
}

error InvalidSettings(const std::vector<settings_problem>& problems) {
  std::string text;
  for (const settings_problem& problem : problems) {
    text += text.empty() ? "" : "; ";
    text += problem.section + " " + problem.key + ": " + problem.reason + " (" +
            problem.remedy + ")";
  }
  return error{error_kind::invalid_settings, text,
               "correct the named values and repeat the change"};
}

error Unavailable() {
  return error{error_kind::unavailable,
               "the key-value service could not be reached",
               "repeat the change when the service answers again"};
}

error OutcomeUnknown(std::uint64_t version) {
  return error{error_kind::outcome_unknown,
               "the write of version " + std::to_string(version) +
                   " was sent, its answer was lost",
               "read the changes to see whether the version exists",
               call_outcome::unknown};
}

}  // namespace

result<success> config_store::CheckProposal(
    std::uint64_t expected_version,
    const settings_change_set& changes) const {
  if (!ready_) {
    return error{error_kind::not_ready,
                 "the daemon has not read the configuration yet",
                 "retry after a second, or at another address"};
  }
  if (expected_version != log_.version()) {
    return Conflict(log_.version());
  }
  const auto checked = log_.Check(changes);
  if (const auto* problems =
          std::get_if<std::vector<settings_problem>>(&checked)) {
    return InvalidSettings(*problems);
  }
  return success();
}

void config_store::Propose(std::uint64_t expected_version,
                           const settings_change_set& changes,
                           proposal_handler handler,
                           node_context& context) {
  const result<success> checked = CheckProposal(expected_version, changes);
  if (Failed(checked)) {
    handler(ErrorOf(checked), context);
    return;
  }
  const config_record record{expected_version + 1, changes};
  kv_.Call(
      kv_compare_and_swap{ChangeKey(record.version), 0, json(changes).dump(),
                          0},
      kPriority,
      [this, record, handler = std::move(handler)](const kv_answer& answer,
                                                   node_context& later) {
        ProposalAnswered(record, answer, handler, later);
      },
      context);
}

void config_store::ProposalAnswered(const config_record& record,
                                    const kv_answer& answer,
                                    const proposal_handler& handler,
                                    node_context& context) {
  switch (answer.outcome) {
    case status::ok:
      highest_seen_ = std::max(highest_seen_, record.version);
      log_.Add(record);
      if (record.version % kSnapshotEvery == 0) {
        WriteSnapshot(context);
      }
      handler(record.version, context);
      return;
    case status::conflict:
      for (const kv_entry& entry : answer.entries) {
        AddEntry(entry);
      }
      handler(Conflict(std::max(log_.version(), record.version)), context);
      return;
    case status::not_sent:
      handler(Unavailable(), context);
      return;
    default:
      handler(OutcomeUnknown(record.version), context);
      return;
  }
}

// A lost snapshot costs only a longer list at the next start.
void config_store::WriteSnapshot(node_context& context) {
  const config_snapshot snapshot = log_.Snapshot();
  kv_.Call(
      kv_compare_and_swap{SnapshotKey(snapshot.version), 0,
                          json(snapshot).dump(), 0},
      kPriority,
      [this, version = snapshot.version](const kv_answer& answer,
                                         node_context& later) {
        // The one in between stays for daemons that are reading it.
        if (answer.outcome == status::ok && version > 2 * kSnapshotEvery) {
          DeleteSnapshot(version - 2 * kSnapshotEvery, later);
        }
      },
      context);
}

void config_store::DeleteSnapshot(std::uint64_t version,
                                  node_context& context) {
  const std::string key = SnapshotKey(version);
  kv_.Call(
      kv_get{key}, kPriority,
      [this, key](const kv_answer& answer, node_context& later) {
        if (answer.entries.empty()) {
          return;
        }
        kv_.Call(
            kv_delete{key, answer.entries.front().version}, kPriority,
            [](const kv_answer& /*answer*/, node_context& /*last*/) {}, later);
      },
      context);
}

}  // namespace gentian
