#include "gentian_decisions/standalone_cluster.h"

namespace gentian {

standalone_cluster::standalone_cluster(const node_identity& identity,
                                       configuration settings)
    : settings_(std::move(settings)) {
  self_.id = incarnation{identity.host, 1};
  self_.failure_domain = identity.failure_domain;
  self_.peer_address = identity.peer_address;
  self_.caller_address = identity.caller_address;
  self_.has_data_folder = identity.has_data_folder;
}

std::optional<member> standalone_cluster::FindMember(
    const host_id& host) const {
  if (host == self_.id.host) {
    return self_;
  }
  return std::nullopt;
}

void standalone_cluster::Call(kv_operation operation,
                              priority /*order*/,
                              answer_handler handler,
                              node_context& /*context*/) {
  calls_.emplace_back(std::move(operation), std::move(handler));
}

void standalone_cluster::Deliver(node_context& context) {
  const auto calls = std::move(calls_);
  calls_.clear();
  for (const auto& [operation, handler] : calls) {
    handler(Answer(operation), context);
  }
}

kv_answer standalone_cluster::Answer(const kv_operation& operation) {
  if (const auto* swap = std::get_if<kv_compare_and_swap>(&operation)) {
    return Swap(*swap);
  }
  if (const auto* get = std::get_if<kv_get>(&operation)) {
    return Get(get->key);
  }
  kv_answer answer;
  answer.outcome = kv_answer::status::not_sent;
  return answer;
}

kv_answer standalone_cluster::Get(const std::string& key) const {
  kv_answer answer;
  answer.outcome = kv_answer::status::ok;
  const auto found = entries_.find(key);
  if (found != entries_.end()) {
    answer.entries.push_back(found->second);
  }
  return answer;
}

kv_answer standalone_cluster::Swap(const kv_compare_and_swap& operation) {
  kv_answer answer = Get(operation.key);
  const std::uint64_t version =
      answer.entries.empty() ? 0 : answer.entries.front().version;
  if (version != operation.expected_version) {
    answer.outcome = kv_answer::status::conflict;
    return answer;
  }
  const kv_entry written{operation.key, operation.value, version + 1};
  entries_[operation.key] = written;
  answer.entries = {written};
  return answer;
}

}  // namespace gentian
