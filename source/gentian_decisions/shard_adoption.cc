#include "gentian_decisions/shard_adoption.h"

#include <algorithm>
#include <utility>

#include "gentian_decisions/replica_quorum.h"

namespace gentian {

namespace {

bool IsBetter(const session_copy& a, const session_copy& b) {
  return std::make_pair(a.generation, a.records.size()) >
         std::make_pair(b.generation, b.records.size());
}

}  // namespace

shard_adoption::shard_adoption(shard_id shard, shard_record record)
    : shard_(std::move(shard)), record_(std::move(record)) {
  for (const incarnation& replica : record_.replicas) {
    answers_[replica];
  }
}

void shard_adoption::AddPage(const incarnation& from,
                             const fence_promise& page) {
  const auto found = answers_.find(from);
  if (found == answers_.end() || page.generation != record_.generation) {
    return;
  }
  answer& known = found->second;
  if (known.complete || page.after != known.after) {
    // A repeated or late page.
    return;
  }
  known.copies.insert(known.copies.end(), page.copies.begin(),
                      page.copies.end());
  known.complete = page.last;
  if (!page.copies.empty()) {
    known.after = page.copies.back().session;
  }
}

std::vector<fence_request> shard_adoption::MissingPages() const {
  std::vector<fence_request> requests;
  for (const auto& [replica, known] : answers_) {
    if (!known.complete) {
      fence_request request;
      request.to = replica;
      request.shard = shard_;
      request.generation = record_.generation;
      request.after = known.after;
      requests.push_back(std::move(request));
    }
  }
  return requests;
}

bool shard_adoption::IsFenced() const {
  const auto complete =
      std::count_if(answers_.begin(), answers_.end(),
                    [](const auto& entry) { return entry.second.complete; });
  return static_cast<std::size_t>(complete) >= FencesNeeded(answers_.size());
}

std::vector<std::unique_ptr<session>> shard_adoption::Merge(
    steady_time now) const {
  std::vector<const session_copy*> copies;
  for (const auto& [replica, known] : answers_) {
    for (const session_copy& copy : known.copies) {
      if (known.complete) {
        copies.push_back(&copy);
      }
    }
  }
  return Build(copies, now);
}

std::vector<std::unique_ptr<session>> shard_adoption::Restore(
    const std::vector<session_copy>& checkpoints,
    steady_time now) const {
  std::vector<const session_copy*> copies;
  copies.reserve(checkpoints.size());
  for (const session_copy& copy : checkpoints) {
    copies.push_back(&copy);
  }
  for (const auto& [replica, known] : answers_) {
    for (const session_copy& copy : known.copies) {
      copies.push_back(&copy);
    }
  }
  return Build(copies, now);
}

std::vector<std::unique_ptr<session>> shard_adoption::Build(
    const std::vector<const session_copy*>& copies,
    steady_time now) {
  std::map<session_id, const session_copy*> best;
  std::map<session_id, milliseconds> elapsed;
  for (const session_copy* copy : copies) {
    const session_copy*& chosen = best[copy->session];
    if (chosen == nullptr || IsBetter(*copy, *chosen)) {
      chosen = copy;
    }
    milliseconds& longest = elapsed[copy->session];
    longest = std::max(longest, copy->elapsed);
  }
  std::vector<std::unique_ptr<session>> merged;
  for (const auto& [id, copy] : best) {
    if (copy->records.empty()) {
      continue;
    }
    auto adopted = std::make_unique<session>(id, now - elapsed[id]);
    for (const session_record& record : copy->records) {
      adopted->Apply(record);
    }
    merged.push_back(std::move(adopted));
  }
  return merged;
}

}  // namespace gentian
