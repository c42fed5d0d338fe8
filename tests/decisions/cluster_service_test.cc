#include <criterion/criterion.h>

#include "support/cluster_rig.h"

using namespace gentian;

namespace {

constexpr milliseconds kSecond{1'000};

apply_changes Change(std::uint64_t expected,
                     const std::string& value,
                     const std::string& key = "key") {
  return {expected, {"ann", "test", {{"/teams/kiosk", key, value}}}};
}

const std::string kHash = Sha256Hex("secret");

}  // namespace

// Guards against copies of sessions that become void because the lease of
// their holder has expired while its process lives on.
Test(cluster_service, a_process_keeps_its_epoch_when_its_lease_has_expired) {
  cluster_rig rig(3);
  rig.Run(2 * kSecond);
  cr_assert(rig.at("h0").cluster.self().epoch == 1);
  rig.service.EndLeasesOf("/daemon/h0");
  rig.service.ExpireLeases(rig.now);
  cr_assert(!rig.service.Find("/daemon/h0"));
  rig.Run(7 * kSecond);
  cr_assert(rig.service.Find("/daemon/h0"));
  cr_assert(rig.at("h0").cluster.self().epoch == 1);
  cr_assert(rig.at("h0").epochs == std::vector<std::uint64_t>{1});
}

// Guards against an epoch that starts over when the lease has removed the
// daemon's entry.
Test(cluster_service, a_new_process_gets_a_higher_epoch) {
  cluster_rig rig(3);
  rig.Run(2 * kSecond);
  rig.service.EndLeasesOf("/daemon/h0");
  rig.service.ExpireLeases(rig.now);
  rig.Start("h0");
  rig.Run(2 * kSecond);
  cr_assert(rig.at("h0").cluster.self().epoch == 2);
  cr_assert(rig.at("h1").cluster.FindMember(host_id("h0"))->id.epoch == 2);
}

// Guards against two incarnations with one epoch: a process whose host has
// been registered by a later one must not go back to its old epoch.
Test(cluster_service, a_process_takes_a_new_epoch_after_a_later_one) {
  cluster_rig rig(3);
  rig.Run(2 * kSecond);
  rig.service.Put("/epoch/h0", "5");
  rig.service.EndLeasesOf("/daemon/h0");
  rig.Run(7 * kSecond);
  cr_assert(rig.at("h0").cluster.self().epoch == 6);
}

// Guards against a daemon that stops serving because the service is down.
Test(cluster_service, an_outage_of_the_service_alone_keeps_daemons_ready) {
  cluster_rig rig(3);
  rig.Run(2 * kSecond);
  rig.service_down = true;
  rig.Run(60 * kSecond);
  cr_assert(!rig.at("h0").cluster.CheckReady(rig.now));
  rig.service_down = false;
  rig.Run(10 * kSecond);
  // The lease expired meanwhile; the process and its copies live on.
  cr_assert(rig.service.Find("/daemon/h0"));
  cr_assert(rig.at("h0").cluster.self().epoch == 1);
}

// Guards against an isolated daemon that goes on with an old configuration.
Test(cluster_service, an_isolated_daemon_refuses_requests) {
  cluster_rig rig(3);
  rig.Run(2 * kSecond);
  rig.service_down = true;
  rig.isolated.insert("h0");
  rig.Run(6 * kSecond);
  const auto refusal = rig.at("h0").cluster.CheckReady(rig.now);
  cr_assert(refusal && refusal->kind == error_kind::stale_configuration);
  cr_assert(refusal->outcome == call_outcome::not_run);
  cr_assert(!rig.at("h1").cluster.CheckReady(rig.now));
}

// Guards against callers that are sent to a suspected, draining or leaving
// daemon, and against a suspicion that outlives its cause.
Test(cluster_service, addresses_leave_out_daemons_that_should_get_no_callers) {
  cluster_rig rig(4);
  rig.Run(2 * kSecond);
  rig.isolated.insert("h1");
  rig.Step("h2",
           [&](node_context& c) { rig.at("h2").cluster.StartDraining(c); });
  rig.Step("h0", [&](node_context& c) {
    rig.at("h0").cluster.Handle(host_list_received{{{"h3", true}}}, c);
  });
  rig.Run(5 * kSecond);
  cr_assert(rig.at("h0").cluster.AddressList()["addresses"] ==
            json::array({"10.0.0.0:80"}));
  rig.isolated.clear();
  rig.Run(2 * kSecond);
  cr_assert(rig.at("h0").cluster.AddressList()["addresses"].size() == 2);
}

// Guards against a false suspicion of one daemon that spreads and stays.
Test(cluster_service, a_suspect_that_is_alive_refutes_it) {
  cluster_rig rig(12);
  rig.Run(5 * kSecond);
  const incarnation victim = rig.at("h5").cluster.self();
  rig.Step("h0", [&](node_context& c) {
    heartbeat rumour;
    rumour.sender = rig.at("h1").cluster.self();
    rumour.number = 1'000;
    rumour.news = {{victim, 1, 1'000'000}};
    rig.at("h0").cluster.Handle(peer_received{rumour.sender, rumour}, c);
  });
  cr_assert(!rig.at("h0").cluster.IsAlive(victim));
  rig.Run(8 * kSecond);
  for (int i = 0; i < 12; ++i) {
    cr_assert(rig.at("h" + std::to_string(i)).cluster.IsAlive(victim), "%d", i);
  }
}

// Guards against a death that part of a larger fleet never learns of.
Test(cluster_service, a_death_spreads_through_a_larger_fleet) {
  cluster_rig rig(20);
  rig.Run(5 * kSecond);
  const incarnation victim = rig.at("h5").cluster.self();
  rig.at("h5").stopped = true;
  rig.Run(10 * kSecond);
  for (int i = 0; i < 20; ++i) {
    const std::string host = "h" + std::to_string(i);
    cr_assert(host == "h5" || !rig.at(host).cluster.IsAlive(victim), "%d", i);
  }
}

// Guards against lost updates when two operators race.
Test(cluster_service, of_two_racing_changes_one_gets_a_conflict) {
  cluster_rig rig(3);
  rig.Run(2 * kSecond);
  rig.Step("h0", [&](node_context& c) {
    rig.at("h0").cluster.Handle(admin_request{900, Change(0, "one")}, c);
  });
  const auto second = rig.Ask("h1", Change(0, "two"));
  rig.Run(kSecond);
  cr_assert(!Failed(rig.at("h0").replies.at(900)));
  cr_assert(ErrorOf(second).kind == error_kind::conflict);
  cr_assert(ErrorOf(second).message.find("version 1") != std::string::npos);
  for (const char* host : {"h0", "h1", "h2"}) {
    cr_assert(rig.at(host).cluster.settings().version == 1);
    cr_assert(rig.at(host).cluster.IsKeyValid(Sha256Hex("one")));
  }
}

// Guards against an accepted change that is reported as failed.
Test(cluster_service, a_change_whose_answer_is_lost_is_accepted) {
  cluster_rig rig(3);
  rig.Run(2 * kSecond);
  rig.lose_next_write_answer = true;
  const auto answer = rig.Ask("h0", Change(0, "one"));
  cr_assert(!Failed(answer) && ValueOf(answer)["version"] == 1);
}

// Guards against an invalid change set that takes a slot.
Test(cluster_service, an_invalid_change_is_refused_before_the_write) {
  cluster_rig rig(3);
  rig.Run(2 * kSecond);
  const auto answer = rig.Ask("h0", Change(0, "bad"));
  cr_assert(ErrorOf(answer).kind == error_kind::invalid_settings);
  cr_assert(rig.service.Count("/config/change/") == 0);
}

// Guards against a version that is missed when pushes are lost and the watch
// was compacted.
Test(cluster_service, a_version_arrives_without_pushes_and_after_compaction) {
  cluster_rig rig(3);
  rig.Run(2 * kSecond);
  rig.lose_pushes = true;
  rig.isolated = {"h0", "h1", "h2"};
  cr_assert(!Failed(rig.Ask("h0", Change(0, "one"))));
  rig.service.Compact();
  rig.Run(7 * kSecond);
  cr_assert(rig.at("h2").cluster.settings().version == 1);
}

// Guards against a restarted daemon that serves an older version while the
// service is down.
Test(cluster_service, a_restart_during_an_outage_takes_the_peers_version) {
  cluster_rig rig(3);
  rig.Run(2 * kSecond);
  cr_assert(!Failed(rig.Ask("h0", Change(0, "secret"))));
  rig.Run(kSecond);
  rig.service_down = true;
  rig.Start("h2");
  rig.isolated.insert("h2");
  rig.Run(20 * kSecond);
  cr_assert(rig.at("h2").cluster.CheckReady(rig.now)->kind ==
            error_kind::not_ready);
  rig.isolated.clear();
  rig.Run(5 * kSecond);
  cr_assert(!rig.at("h2").cluster.CheckReady(rig.now));
  cr_assert(rig.at("h2").cluster.settings().version == 1);
  cr_assert(rig.at("h2").cluster.IsKeyValid(kHash));
}

// Guards against a withdrawn key that works on where the message was lost,
// during an outage of the service.
Test(cluster_service, a_withdrawn_key_stops_everywhere_without_the_service) {
  cluster_rig rig(3);
  rig.Run(2 * kSecond);
  rig.Ask("h0", Change(0, "secret"));
  rig.Run(kSecond);
  rig.service_down = true;
  rig.lose_pushes = true;
  const auto answer = rig.Ask("h0", withdraw_key{kHash, "ann"});
  cr_assert(ValueOf(answer)["durable"] == false);
  cr_assert(ValueOf(answer)["in_force_on"] == 1);
  rig.lose_pushes = false;
  rig.Run(4 * kSecond);
  for (const char* host : {"h0", "h1", "h2"}) {
    cr_assert(!rig.at(host).cluster.IsKeyValid(kHash));
    cr_assert(rig.at(host).ended_keys.count(kHash) == 1);
  }
  rig.at("h0").stopped = true;
  rig.service_down = false;
  rig.Run(30 * kSecond);
  cr_assert(rig.service.Count("/revoked/") == 1);
}

// Guards against an operator who is told a wrong state of a withdrawal or of a
// rollout.
Test(cluster_service, operators_see_where_a_change_is_in_force) {
  cluster_rig rig(3);
  rig.Run(2 * kSecond);
  rig.Ask("h0", Change(0, "secret"));
  rig.at("h2").stopped = true;
  const auto withdrawal = ValueOf(rig.Ask("h0", withdraw_key{kHash, "ann"}));
  cr_assert(withdrawal["durable"] == true);
  cr_assert(withdrawal["in_force_on"] == 2);
  cr_assert(withdrawal["not_confirmed"] == json::array({"h2"}));
  const auto rollout = ValueOf(rig.Ask("h0", read_rollout{1}));
  cr_assert(rollout["in_force_on"] == 2);
  cr_assert(rollout["no_answer"] == json::array({"h2"}));
  const auto changes = ValueOf(rig.Ask("h1", read_changes{}));
  cr_assert(changes["changes"].size() == 1 && changes["complete"] == true);
}

// Guards against a start that lists the whole log, and against a daemon whose
// own file differs from the fleet's tree.
Test(cluster_service, a_restart_reads_snapshot_and_later_changes) {
  cluster_rig rig(1);
  rig.Run(2 * kSecond);
  for (std::uint64_t version = 0; version < 260; ++version) {
    cr_assert(!Failed(
        rig.Ask("h0", Change(version, "v", "k" + std::to_string(version)))));
  }
  cr_assert(rig.service.Count("/config/snapshot/") == 2);
  rig.Start("h0");
  rig.Run(2 * kSecond);
  cr_assert(rig.at("h0").cluster.settings().version == 260);
  const auto settings = ValueOf(rig.Ask("h0", read_settings{}));
  cr_assert(settings["settings"]["/teams/kiosk"].size() == 260);
  const auto changes = ValueOf(rig.Ask("h0", read_changes{}));
  cr_assert(changes["changes"].size() == 260);
}
