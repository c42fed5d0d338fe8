#include <criterion/criterion.h>

#include "gentian_daemon/gentian_daemon.h"

using namespace gentian;

namespace {

const error kFailure{error_kind::internal, "broken", "none"};

// Children that write down what happens to them; time does not pass.
struct tree_fixture {
  supervised_child Child(const std::string& name) {
    return {name,
            [this, name] {
              events.push_back("+" + name);
              return name == failing ? result<success>(kFailure)
                                     : result<success>(success{});
            },
            [this, name] { events.push_back("-" + name); },
            {}};
  }

  std::vector<std::string> events;
  std::vector<duration> delays;
  std::string failing;
  int given_up = 0;
  supervisor tree{[this](duration delay, const std::function<void()>& action) {
                    delays.push_back(delay);
                    action();
                  },
                  [this](const error& /*reason*/) { ++given_up; }};
};

}  // namespace

// Guards against parts that are stopped before the parts that use them.
Test(supervisor, starts_in_order_and_stops_in_reverse) {
  tree_fixture fixture;
  fixture.tree.Add(fixture.Child("a"));
  fixture.tree.Add(fixture.Child("b"));
  cr_assert(!Failed(fixture.tree.Start()));
  fixture.tree.Stop();
  cr_assert(fixture.events ==
            std::vector<std::string>({"+a", "+b", "-b", "-a"}));
}

// Guards against a half-started daemon.
Test(supervisor, failed_start_stops_what_runs) {
  tree_fixture fixture;
  fixture.failing = "b";
  fixture.tree.Add(fixture.Child("a"));
  fixture.tree.Add(fixture.Child("b"));
  cr_assert(Failed(fixture.tree.Start()));
  cr_assert(fixture.events == std::vector<std::string>({"+a", "+b", "-a"}));
}

// Guards against a part that is restarted for ever in a busy loop.
Test(supervisor, restarts_with_growing_delays_and_gives_up) {
  tree_fixture fixture;
  fixture.tree.Add(fixture.Child("a"));
  cr_assert(!Failed(fixture.tree.Start()));
  fixture.tree.Report("a", kFailure);
  cr_assert(fixture.events == std::vector<std::string>({"+a", "-a", "+a"}));
  cr_assert(fixture.delays.at(0) == duration::zero());
  fixture.failing = "a";
  fixture.tree.Report("a", kFailure);
  cr_assert(fixture.given_up == 1);
  cr_assert(fixture.delays.size() == 8);
  cr_assert(fixture.delays.at(1) == milliseconds(100));
  cr_assert(fixture.delays.at(2) == milliseconds(200));
  cr_assert(fixture.delays.back() == milliseconds(5'000));
}
