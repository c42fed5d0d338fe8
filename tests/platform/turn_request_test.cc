#include <criterion/criterion.h>

#include "gentian_gateway_daemon/turn_request.h"

using namespace gentian;

// Guards against requests of the build before, which don't name the failure
// domain of their gateway, and against a domain that gets lost on the way.
Test(turn_request, failure_domain_is_optional) {
  turn_request request;
  request.program = "program";
  request.service = "model";
  request.failure_domain = "a";
  json message = request;
  cr_assert_eq(message.get<turn_request>().failure_domain, "a");
  message.erase("failure_domain");
  cr_assert_eq(message.get<turn_request>().failure_domain, "");
}

// Guards against tokens that are counted twice beside gateways of the build
// before, which neither say whether a turn's tokens were claimed nor whether
// they knew a turn that has ended.
Test(turn_request, answers_of_the_build_before_have_a_meaning) {
  turn_verdict verdict;
  verdict.is_claimed = true;
  json message = verdict;
  cr_assert(message.get<turn_verdict>().is_claimed);
  message.erase("claimed");
  cr_assert(!message.get<turn_verdict>().is_claimed);
  cr_assert(!json(turn_end_answer{false}).get<turn_end_answer>().is_known);
  cr_assert(json::object().get<turn_end_answer>().is_known);
}
