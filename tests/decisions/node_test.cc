#include <criterion/criterion.h>

#include "gentian_decisions/gentian_decisions.h"

using namespace gentian;

// Guards against an address list without the expiry that callers rely on.
Test(node, address_list_has_all_daemons_and_an_expiry) {
  configuration settings;
  daemon_settings daemon;
  daemon.host = host_id("a");
  daemon.caller_address = "127.0.0.1:8080";
  settings.daemons[daemon.host] = daemon;
  seeded_random random(1);
  node subject(node_identity{}, settings, random);

  const auto commands =
      subject.Step(caller_request{7, "", list_addresses{}}, steady_time());

  cr_assert(commands.size() == 1);
  const auto& reply = std::get<reply_to_caller>(commands[0]);
  const auto& body = std::get<final_answer>(reply.part).body;
  cr_assert(reply.id == 7);
  cr_assert(body["addresses"][0] == "127.0.0.1:8080");
  cr_assert(body["expires_in_ms"] == 10'000);
}
