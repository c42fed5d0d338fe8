#include "gentian_decisions/operator_requests.h"

#include <algorithm>
#include <utility>

#include "gentian_decisions/config_keys.h"

namespace gentian {

namespace {

constexpr milliseconds kRolloutWait{1'000};

const char* NameOf(member::state liveness) {
  static constexpr const char* kNames[] = {"alive", "suspect", "dead"};
  return kNames[static_cast<std::size_t>(liveness)];
}

json HostsAsJson(const std::set<host_id>& hosts) {
  json names = json::array();
  for (const host_id& host : hosts) {
    names.push_back(host.text());
  }
  return names;
}

json AsJson(const config_record& record) {
  json out = record.changes;
  out["version"] = record.version;
  return out;
}

void Audit(const std::string& message, json fields, node_context& context) {
  context.Emit(
      write_log{log_level::info, "audit: " + message, std::move(fields)});
}

}  // namespace

operator_requests::operator_requests(kv_access& kv,
                                     membership& members,
                                     config_store& store,
                                     withdrawal_store& withdrawals)
    : kv_(kv), members_(members), store_(store), withdrawals_(withdrawals) {}

void operator_requests::AddStatus(const std::string& name,
                                  std::function<json()> source) {
  status_[name] = std::move(source);
}

void operator_requests::Handle(const admin_request& input,
                               node_context& context) {
  std::visit([&](const auto& operation) { Run(input.id, operation, context); },
             input.operation);
}

json operator_requests::MembersAsJson() const {
  json members = json::array();
  for (const member& daemon : members_.All()) {
    members.push_back(
        {{"host", daemon.id.host.text()},
         {"epoch", daemon.id.epoch},
         {"failure_domain", daemon.failure_domain.text()},
         {"state", NameOf(daemon.liveness)},
         {"draining", daemon.draining},
         {"takes_callers", members_.TakesCallers(daemon.id.host)}});
  }
  return members;
}

void operator_requests::Run(request_id id,
                            const read_status& /*input*/,
                            node_context& context) {
  json answer{{"self", members_.self().ToString()},
              {"ready", store_.ready()},
              {"version", store_.log().in_force().version},
              {"members", MembersAsJson()},
              {"counters", context.counters.values()}};
  for (const auto& [name, source] : status_) {
    answer[name] = source();
  }
  context.Emit(reply_to_operator{id, std::move(answer)});
}

void operator_requests::Run(request_id id,
                            const read_settings& /*input*/,
                            node_context& context) {
  const config_log& log = store_.log();
  context.Emit(reply_to_operator{
      id,
      json{{"version", log.version()}, {"settings", log.tree().sections()}}});
}

void operator_requests::Run(request_id id,
                            const read_changes& input,
                            node_context& context) {
  const std::uint64_t newest = store_.log().version();
  const std::uint64_t first = std::max<std::uint64_t>(1, input.from_version);
  const std::size_t kept = store_.log().NewestFirst(first).size();
  if (newest < first || kept == newest - first + 1) {
    AnswerChanges(id, first, {}, context);
    return;
  }
  // This daemon started from a snapshot: the service has the older ones.
  kv_.Call(
      kv_list{ChangeBlockPrefix(newest)}, kv_access::priority::configuration,
      [this, id, first](const kv_answer& answer, node_context& later) {
        AnswerChanges(id, first, answer, later);
      },
      context);
}

void operator_requests::AnswerChanges(request_id id,
                                      std::uint64_t from_version,
                                      const kv_answer& stored,
                                      node_context& context) const {
  std::map<std::uint64_t, config_record> records;
  for (const kv_entry& entry : stored.entries) {
    if (const auto record = ParseChange(entry.key, entry.value)) {
      records.emplace(record->version, *record);
    }
  }
  for (const config_record& record : store_.log().NewestFirst(from_version)) {
    records.emplace(record.version, record);
  }
  json changes = json::array();
  for (auto it = records.rbegin(); it != records.rend(); ++it) {
    if (it->first >= from_version) {
      changes.push_back(AsJson(it->second));
    }
  }
  const std::uint64_t newest = store_.log().version();
  const bool complete =
      newest < from_version || changes.size() >= newest - from_version + 1;
  context.Emit(reply_to_operator{id, json{{"version", newest},
                                          {"changes", std::move(changes)},
                                          {"complete", complete}}});
}

void operator_requests::Run(request_id id,
                            const apply_changes& input,
                            node_context& context) {
  const std::string author = input.changes.author;
  store_.Propose(
      input.expected_version, input.changes,
      [id, author](const result<std::uint64_t>& outcome, node_context& later) {
        if (Failed(outcome)) {
          later.counters.Add(std::string("admin.apply.") +
                             gentian::NameOf(ErrorOf(outcome).kind));
          later.Emit(reply_to_operator{id, ErrorOf(outcome)});
          return;
        }
        const std::uint64_t version = ValueOf(outcome);
        Audit("settings changed", {{"author", author}, {"version", version}},
              later);
        later.Emit(reply_to_operator{id, json{{"version", version}}});
      },
      context);
}

void operator_requests::Run(request_id id,
                            const withdraw_key& input,
                            node_context& context) {
  if (!IsKeyHash(input.key_hash)) {
    context.Emit(reply_to_operator{
        id, error{error_kind::malformed_request,
                  "the key hash is not a SHA-256 in lower-case hexadecimal",
                  "send the hash that was shown when the key was issued"}});
    return;
  }
  Audit("key withdrawn",
        {{"author", input.author}, {"key_hash", input.key_hash}}, context);
  const withdrawal_store::fleet view{members_.self().host,
                                     members_.neighbours(), members_.Live()};
  withdrawals_.Withdraw(
      input.key_hash, input.author, view,
      [id](const withdrawal_store::report& report, node_context& later) {
        later.Emit(reply_to_operator{
            id, json{{"durable", report.durable},
                     {"in_force_on", report.in_force.size()},
                     {"not_confirmed", HostsAsJson(report.missing)}}});
      },
      context);
}

void operator_requests::Run(request_id id,
                            const read_rollout& input,
                            node_context& context) {
  rollout next;
  next.version = input.version;
  next.give_up = context.now + kRolloutWait;
  const host_id self = members_.self().host;
  next.in_force[self] = store_.log().in_force().version;
  for (const member& daemon : members_.All()) {
    if (daemon.id.host != self) {
      next.waiting.insert(daemon.id.host);
      context.Emit(send_to_peer{daemon.id.host, rollout_request{id}});
    }
  }
  rollouts_[id] = std::move(next);
}

void operator_requests::Handle(const host_id& from,
                               const rollout_request& input,
                               node_context& context) {
  context.Emit(send_to_peer{
      from, rollout_answer{input.id, store_.log().in_force().version}});
}

void operator_requests::Handle(const host_id& from,
                               const rollout_answer& input) {
  const auto found = rollouts_.find(input.id);
  if (found != rollouts_.end() && found->second.waiting.erase(from) > 0) {
    found->second.in_force[from] = input.version;
  }
}

void operator_requests::Tick(node_context& context) {
  for (auto it = rollouts_.begin(); it != rollouts_.end();) {
    const rollout& entry = it->second;
    if (!entry.waiting.empty() && context.now < entry.give_up) {
      ++it;
      continue;
    }
    std::size_t in_force = 0;
    json lagging = json::object();
    for (const auto& [host, version] : entry.in_force) {
      if (version >= entry.version) {
        ++in_force;
      } else {
        lagging[host.text()] = version;
      }
    }
    context.Emit(reply_to_operator{
        it->first, json{{"version", entry.version},
                        {"in_force_on", in_force},
                        {"lagging", std::move(lagging)},
                        {"no_answer", HostsAsJson(entry.waiting)}}});
    it = rollouts_.erase(it);
  }
}

}  // namespace gentian
