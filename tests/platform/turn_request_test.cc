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
