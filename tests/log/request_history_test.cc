#include "gentian_log/request_history.h"

#include <criterion/criterion.h>

#include <sstream>

using namespace gentian;

namespace {

// Logs of an owner and a gateway for a rejected turn: the owner had lost its
// connection to the key-value service.
constexpr const char* kOwner =
    R"(front-1 | {"time":"2026-08-18T08:46:45.100Z","level":"WARN","host":"o","message":"key-value service lost","last_answer_age_ms":1990}
{"time":"2026-08-18T08:46:47.500Z","level":"INFO","host":"o","message":"turn decided","request":"r1","program":"p","outcome":"unavailable"}
{"time":"2026-08-18T08:46:47.600Z","level":"INFO","host":"o","message":"target usable","target":"i-unrelated"}
{"time":"2026-08-18T08:00:00.000Z","level":"INFO","host":"o","message":"members changed"}
not json
)";
constexpr const char* kGateway =
    R"({"time":"2026-08-18T08:46:47.959Z","level":"INFO","host":"g","message":"request ended","request":"r1","program":"p","outcome":"budget_unavailable","duration_ms":1804,"target":"","sends":0}
{"time":"2026-08-18T08:46:48.100Z","level":"INFO","host":"g","message":"request ended","request":"r2","program":"p","outcome":"answered"}
{"time":"2026-08-18T08:46:46.000Z","level":"INFO","host":"other","message":"members changed"}
)";

request_history Read(const std::string& id) {
  request_history history(id);
  std::istringstream gateway(kGateway);
  std::istringstream owner(kOwner);
  history.Read(gateway);
  history.Read(owner);
  return history;
}

}  // namespace

// Guards against a history that omits another host's decision or the host
// events that explain it, or that includes unrelated lines.
Test(request_history, puts_the_lines_of_two_hosts_in_order) {
  const request_history history = Read("r1");
  const auto steps = history.Steps();
  cr_assert(steps.size() == 3);
  cr_assert(steps[0].message == "key-value service lost");
  cr_assert(!steps[0].names_id);
  cr_assert(steps[1].host == "o");
  cr_assert(steps[1].names_id);
  cr_assert(steps[2].host == "g");
  cr_assert((steps[2].at - steps[0].at).count() == 2859);
  cr_assert(!steps[2].fields.contains("target"));
  cr_assert(history.unreadable() == 1);
  cr_assert(history.Outcome() == "budget_unavailable");
}

// Guards against a lookup by program id that misses some of its requests.
Test(request_history, finds_all_requests_of_a_program) {
  const request_history history = Read("p");
  int own = 0;
  for (const auto& step : history.Steps()) {
    own += step.names_id ? 1 : 0;
  }
  cr_assert(own == 3);
  cr_assert(history.Outcome() == "answered");
}

// Guards against reporting an unknown id as a request without problems.
Test(request_history, knows_nothing_of_other_ids) {
  const request_history history = Read("r9");
  cr_assert(history.Steps().empty());
  cr_assert(history.Outcome().empty());
  cr_assert(!request_history::MeaningOf("").empty());
}
