#include "gentian_decisions/caller_operation.h"

namespace gentian {

namespace {

template <typename Call>
bool HasKeyOrPosition(const caller_operation& operation) {
  const auto* call = std::get_if<Call>(&operation);
  return call != nullptr &&
         (!call->idempotency_key.empty() || call->sequence.has_value());
}

}  // namespace

bool MayRepeatEarlierCall(const caller_operation& operation) {
  return HasKeyOrPosition<model_call>(operation) ||
         HasKeyOrPosition<tool_call>(operation);
}

call_outcome OutcomeWithoutOwner(const caller_operation& operation) {
  return MayRepeatEarlierCall(operation) ? call_outcome::unknown
                                         : call_outcome::not_run;
}

}  // namespace gentian
