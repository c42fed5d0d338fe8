#include <criterion/criterion.h>

#include "daemon/admin_fixture.h"

using gentian::json;

namespace {

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

// Guards against a change that is made although it was only asked about, and
// against a preview that hides what teams inherit.
Test(admin_command, diff_shows_inherited_effects_and_changes_nothing) {
  admin_fixture fleet;
  cr_assert_eq(fleet.Admin("apply --set /teams/a:team=yes").status, 0);
  const auto shown = fleet.Admin("diff --set /teams:rate=7/s");
  cr_assert_eq(shown.status, 0, "%s", shown.output.c_str());
  cr_assert(Contains(shown.output, "10/s (default)"));
  cr_assert(Contains(shown.output, "7/s (/teams)"));
  cr_assert_eq(fleet.history().size(), 1);
}

// Guards against mistakes that reach the fleet, and against an exit code that
// a script takes for success.
Test(admin_command, mistakes_and_refusals_change_nothing) {
  admin_fixture fleet;
  cr_assert_eq(fleet.Admin("apply --set /teams/a:rate=7").status, 1);
  cr_assert_eq(fleet.Admin("apply --set /teams/a").status, 2);
  cr_assert_eq(fleet.Admin("apply").status, 2);
  cr_assert_eq(fleet.Admin("aply").status, 2);
  cr_assert_eq(fleet.Admin("apply --file /nonexistent").status, 3);
  cr_assert_eq(fleet.Admin("apply --set /teams/a:team=yes", "wrong").status, 5);
  cr_assert_eq(fleet.Admin("apply --expect 4 --set /teams/a:team=yes").status,
               6);
  cr_assert_eq(fleet.history().size(), 0);
  const auto unreachable = admin_fixture::Run(
      "echo k | " GENTIAN_BINARY
      " admin --key-file - --address 127.0.0.1:1 status 2>&1");
  cr_assert_eq(unreachable.status, 4, "%s", unreachable.output.c_str());
}

// Guards against one of two racing changes that is lost without notice.
Test(admin_command, a_race_ends_with_a_conflict) {
  admin_fixture fleet;
  fleet.race = true;
  cr_assert_eq(fleet.Admin("apply --set /teams/a:team=yes").status, 6);
  cr_assert_eq(fleet.history().size(), 1);
  cr_assert_eq(fleet.Tree().sections().count("/teams/a"), 0);
}

// Guards against "nothing was changed" for a change that took effect.
Test(admin_command, a_lost_answer_is_reported_as_unknown) {
  admin_fixture fleet;
  fleet.lose_answer = true;
  const auto applied = fleet.Admin("apply --set /teams/a:team=yes");
  cr_assert_eq(applied.status, 7, "%s", applied.output.c_str());
  cr_assert_eq(fleet.history().size(), 1);
}

// Guards against keys that are kept in clear text or granted to a team that a
// misspelling creates, and against a withdrawal that leaves the hash behind.
Test(admin_command, keys_are_granted_listed_and_withdrawn) {
  admin_fixture fleet;
  fleet.Admin("apply --set /teams/a:team=yes");
  cr_assert_eq(fleet.Admin("key grant b phone").status, 1);
  const auto granted = fleet.Admin("--json key grant a phone");
  cr_assert_eq(granted.status, 0, "%s", granted.output.c_str());
  const json answer = json::parse(granted.output);
  const auto key = answer.at("key").get<std::string>();
  const std::string hash = gentian::Sha256Hex(key);
  cr_assert(fleet.Tree().Find("/teams/a", "key.phone")->value == hash);
  cr_assert_not(Contains(json(fleet.history()).dump(), key));
  for (const gentian::write_log& line : fleet.audit()) {
    cr_assert_not(Contains(line.fields.dump(), key));
  }
  cr_assert_eq(fleet.Admin("key grant a phone").status, 6);
  cr_assert(Contains(fleet.Admin("key list").output, hash));
  fleet.race = true;
  const auto withdrawn = fleet.Admin("key withdraw a phone");
  cr_assert_eq(withdrawn.status, 0, "%s", withdrawn.output.c_str());
  cr_assert(fleet.withdrawn() == std::vector<std::string>{hash});
  cr_assert_not(fleet.Tree().Find("/teams/a", "key.phone").has_value());
}

// Guards against a rollback that rewrites history or restores something else.
Test(admin_command, rollback_makes_a_new_version) {
  admin_fixture fleet;
  fleet.Admin("apply --set /teams/a:team=yes --set '/teams/a:rate=5/s'");
  const auto before = fleet.Tree().sections();
  fleet.Admin("apply --unset /teams/a:rate --set '/teams/a:burst=9'");
  const auto undone = fleet.Admin("rollback 1");
  cr_assert_eq(undone.status, 0, "%s", undone.output.c_str());
  cr_assert_eq(fleet.history().size(), 3);
  cr_assert(fleet.Tree().sections() == before);
  cr_assert_eq(fleet.Admin("rollback 3").status, 2);
}

// Guards against a rollout that looks finished while a daemon lags.
Test(admin_command, a_lagging_daemon_shows_in_the_exit_code) {
  admin_fixture fleet;
  cr_assert_eq(fleet.Admin("rollout 1").status, 0);
  fleet.lagging = {{"h2", 0}};
  const auto rollout = fleet.Admin("rollout 1");
  cr_assert_eq(rollout.status, 9);
  cr_assert(Contains(rollout.output, "h2"));
  const auto status = fleet.Admin("status");
  cr_assert(Contains(status.output, "alive"));
  cr_assert(Contains(status.output, "refused.rate_limited"));
}

// Guards against a check that stops at the first mistake, and against examples
// that the code no longer accepts.
Test(check_command, all_mistakes_are_reported_and_examples_pass) {
  const auto mistakes = admin_fixture::Run(
      "printf '[/fleet]\\nlimits.wait = 500\\n[/teams/a]\\nrat = 1/s\\n"
      "programs = b\\n[/tems/a]\\nrate = 1/s\\nrubbish\\n' | " GENTIAN_BINARY
      " check -");
  cr_assert_eq(mistakes.status, 1);
  cr_assert(Contains(mistakes.output, "5 mistakes"));
  const auto examples = admin_fixture::Run(
      GENTIAN_BINARY
      " check " GENTIAN_SOURCE_DIR "/examples/perecko.ini " GENTIAN_SOURCE_DIR
      "/examples/alpweg.ini " GENTIAN_SOURCE_DIR "/examples/daemon.ini");
  cr_assert_eq(examples.status, 0, "%s", examples.output.c_str());
}

// Guards against a settings reference and exit codes that differ from the
// code.
Test(check_command, the_operators_page_holds_the_reference) {
  std::ifstream file(GENTIAN_SOURCE_DIR "/docs/operators.md");
  const std::string page((std::istreambuf_iterator<char>(file)),
                         std::istreambuf_iterator<char>());
  const auto reference =
      admin_fixture::Run(GENTIAN_BINARY " check --reference");
  cr_assert_eq(reference.status, 0);
  cr_assert(Contains(page, reference.output),
            "replace the reference by the output of check --reference");
  const auto help = admin_fixture::Run(GENTIAN_BINARY " admin --help");
  const auto codes = help.output.find("Exit codes:\n");
  cr_assert_neq(codes, std::string::npos);
  cr_assert(Contains(page, help.output.substr(codes)));
}
