#include "gentian_decisions/key_registry.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace gentian {

namespace {

constexpr std::size_t kHashLength = 64;

// Compares without an early exit at the first difference.
bool EqualInConstantTime(const std::string& a, const std::string& b) {
  unsigned difference = a.size() == b.size() ? 0 : 1;
  for (std::size_t i = 0; i < kHashLength; ++i) {
    const char left = i < a.size() ? a[i] : '\0';
    const char right = i < b.size() ? b[i] : '\0';
    difference |= static_cast<unsigned char>(left ^ right);
  }
  return difference == 0;
}

error UnknownKey() {
  return error{error_kind::unauthorized, "the key is missing or not known",
               "send a valid key as 'Authorization: Bearer <key>'"};
}

error WithdrawnKey() {
  return error{error_kind::key_withdrawn, "the key has been withdrawn",
               "ask the operators for a new key"};
}

}  // namespace

std::vector<std::string> key_registry::SetGranted(
    const configuration& settings) {
  std::map<std::string, team_id> next;
  for (const auto& [id, team] : settings.teams) {
    for (const std::string& hash : team.key_hashes) {
      next.emplace(hash, id);
    }
  }
  std::vector<std::string> removed;
  for (const auto& [hash, team] : granted_) {
    const auto found = next.find(hash);
    if (found == next.end() || found->second != team) {
      removed.push_back(hash);
    }
  }
  granted_ = std::move(next);
  return removed;
}

bool key_registry::Withdraw(const std::string& key_hash) {
  return withdrawn_.insert(key_hash).second;
}

result<caller_identity> key_registry::Check(const std::string& key) const {
  static const std::string no_hash(kHashLength, '0');
  const std::string hash = Sha256Hex(key);
  const auto found = granted_.lower_bound(hash);
  const std::string& stored = found == granted_.end() ? no_hash : found->first;
  const bool known = EqualInConstantTime(hash, stored);
  const bool withdrawn = withdrawn_.count(hash) > 0;
  if (key.empty() || (!known && !withdrawn)) {
    return UnknownKey();
  }
  if (withdrawn) {
    return WithdrawnKey();
  }
  return caller_identity{found->second, hash};
}

bool key_registry::IsValid(const std::string& key_hash) const {
  return granted_.count(key_hash) > 0 && withdrawn_.count(key_hash) == 0;
}

bool IsKeyHash(const std::string& text) {
  return text.size() == kHashLength &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
         });
}

}  // namespace gentian
