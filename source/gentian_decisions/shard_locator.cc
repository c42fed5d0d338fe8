#include "gentian_decisions/shard_locator.h"

#include <algorithm>
#include <cctype>
#include <string>

namespace gentian {

namespace {

constexpr milliseconds kRefreshInterval{1'000};
/** No epoch or index has as many digits; longer text could overflow. */
constexpr std::size_t kMaxDigits = 18;

bool IsNumber(const std::string& text) {
  return !text.empty() && text.size() <= kMaxDigits &&
         std::all_of(text.begin(), text.end(), [](unsigned char digit) {
           return std::isdigit(digit) != 0;
         });
}

}  // namespace

std::optional<incarnation> OpenerOf(const shard_id& shard) {
  // Host names may contain dashes, so the text is split at the last two.
  const std::string& text = shard.text();
  const auto index_dash = text.rfind('-');
  if (index_dash == std::string::npos || index_dash == 0) {
    return std::nullopt;
  }
  const auto epoch_dash = text.rfind('-', index_dash - 1);
  if (epoch_dash == std::string::npos || epoch_dash == 0) {
    return std::nullopt;
  }
  const std::string epoch =
      text.substr(epoch_dash + 1, index_dash - epoch_dash - 1);
  if (!IsNumber(epoch) || !IsNumber(text.substr(index_dash + 1))) {
    return std::nullopt;
  }
  return incarnation{host_id(text.substr(0, epoch_dash)), std::stoull(epoch)};
}

std::optional<incarnation> shard_locator::OwnerOf(const shard_id& shard) const {
  const auto found = owners_.find(shard);
  if (found != owners_.end() && found->second.absent) {
    return std::nullopt;
  }
  if (found != owners_.end() && found->second.generation > 0) {
    return found->second.owner;
  }
  auto opener = OpenerOf(shard);
  if (!opener) {
    return std::nullopt;
  }
  const auto opened_by = cluster_.FindMember(opener->host);
  if (!opened_by || opened_by->id.epoch < opener->epoch) {
    return std::nullopt;
  }
  return opener;
}

void shard_locator::Learn(const shard_id& shard,
                          std::uint64_t generation,
                          const incarnation& owner) {
  known_owner& known = owners_[shard];
  if (generation > known.generation) {
    known.owner = owner;
    known.generation = generation;
    known.absent = false;
  }
}

void shard_locator::Refresh(const shard_id& shard, node_context& context) {
  known_owner& known = owners_[shard];
  if (known.asked && context.now < *known.asked + kRefreshInterval) {
    return;
  }
  known.asked = context.now;
  store_.Call(
      kv_get{ShardKey(shard)}, kv_access::priority::ownership,
      [this, shard](const kv_answer& answer, node_context& /*later*/) {
        if (answer.outcome != kv_answer::status::ok) {
          return;
        }
        if (answer.entries.empty()) {
          owners_[shard].absent = true;
          return;
        }
        const auto parsed = ParseShardRecord(answer.entries.front().value);
        if (!Failed(parsed)) {
          const shard_record& record = ValueOf(parsed);
          Learn(shard, record.generation, record.owner);
        }
      },
      context);
}

}  // namespace gentian
