#include "gentian_decisions/caller_operation.h"

namespace gentian {

namespace {

template <typename Call>
bool IsNamed(const caller_operation& operation) {
  const auto* call = std::get_if<Call>(&operation);
  return call != nullptr &&
         (!call->idempotency_key.empty() || call->sequence.has_value());
}

}  // namespace

bool MayRepeatEarlierCall(const caller_operation& operation) {
  return IsNamed<model_call>(operation) || IsNamed<tool_call>(operation);
}

call_outcome OutcomeWithoutOwner(const caller_operation& operation) {
  return MayRepeatEarlierCall(operation) ? call_outcome::unknown
                                         : call_outcome::not_run;
}

}  // namespace gentian
