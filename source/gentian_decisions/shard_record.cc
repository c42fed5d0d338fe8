#include "gentian_decisions/shard_record.h"

namespace gentian {

result<shard_record> ParseShardRecord(const std::string& text) {
  try {
    return json::parse(text).get<shard_record>();
  } catch (const json::exception& failure) {
    return error{error_kind::internal,
                 std::string("a shard record is damaged: ") + failure.what(),
                 "run the same version on all daemons"};
  }
}

}  // namespace gentian
