#include "gentian_decisions/checkpoint_batch.h"

#include "gentian_core/cbor.h"

namespace gentian {

std::string CheckpointPrefix(const shard_id& shard) {
  return "/checkpoint/" + shard.text() + "/";
}

std::string CheckpointKey(const shard_id& shard,
                          std::uint64_t generation,
                          std::uint64_t batch) {
  // At one batch a second 8 digits last for three years.
  constexpr std::uint64_t kBatchesPerGeneration = 100'000'000;
  constexpr std::size_t kDigits = 12;
  std::string digits =
      std::to_string(generation * kBatchesPerGeneration + batch);
  if (digits.size() < kDigits) {
    digits.insert(0, kDigits - digits.size(), '0');
  }
  return CheckpointPrefix(shard) + digits;
}

std::string EncodeCheckpoint(const checkpoint_batch& batch) {
  const std::vector<std::uint8_t> bytes = json::to_cbor(json(batch));
  return std::string(bytes.begin(), bytes.end());
}

result<checkpoint_batch> DecodeCheckpoint(const std::string& text) {
  // Its size bounds it: what a daemon has stored must not be refused.
  auto parsed = ParseCbor(text, text.size());
  if (Failed(parsed)) {
    return ErrorOf(parsed);
  }
  try {
    return ValueOf(parsed).get<checkpoint_batch>();
  } catch (const json::exception& failure) {
    return error{error_kind::internal,
                 std::string("a checkpoint is damaged: ") + failure.what(),
                 "run the same version on all daemons"};
  }
}

}  // namespace gentian
