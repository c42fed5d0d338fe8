#include <criterion/criterion.h>

#include "decisions/node_harness.h"

using namespace gentian;

// Guards against an address list without the expiry that callers rely on.
Test(node, address_list_has_all_daemons_and_an_expiry) {
  node_harness world;
  const auto body = world.Final(world.Ask(list_addresses{}, "")).body;
  cr_assert(body["addresses"].size() == 1);
  cr_assert(body["addresses"][0] == "127.0.0.1:8080");
  cr_assert(body["expires_in_ms"] == 10'000);
}
