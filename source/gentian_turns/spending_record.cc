#include "gentian_turns/spending_record.h"

#include "gentian_core/cbor_message.h"

namespace gentian {

using detail::BytesOf;
using detail::Decode;
using detail::Encode;
using detail::ToBytes;

std::string EncodeSpending(const spending_record& record) {
  return Encode({{"claim", ToBytes(record.claim)},
                 {"sequence", record.sequence},
                 {"in_use", record.in_use},
                 {"used", record.used}});
}

result<spending_record> DecodeSpending(std::string_view bytes) {
  return Decode<spending_record>(bytes, [](const json& in) {
    spending_record record;
    record.claim = BytesOf(in.at("claim"));
    record.sequence = in.at("sequence").get<std::int64_t>();
    record.in_use = in.at("in_use").get<std::int64_t>();
    record.used = in.at("used").get<std::int64_t>();
    if (record.claim.empty() || record.in_use < 0 || record.used < 0) {
      throw detail::invalid_message("a spending record without its values");
    }
    return record;
  });
}

}  // namespace gentian
