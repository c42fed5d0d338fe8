#include <criterion/criterion.h>

#include "gentian_gateway/gentian_gateway.h"

using namespace gentian;

namespace {

using candidates = std::vector<path_monitor::candidate>;
using probes = path_monitor::probes;

steady_time At(int ms) {
  return steady_time(std::chrono::hours(1) + milliseconds(ms));
}

const candidates& Known() {
  static const candidates known = {
      {"m1", "models"}, {"m2", "models"}, {"m3", "models"}, {"t1", "tools"}};
  return known;
}

}  // namespace

// Guards against a host that does not notice that it reaches no target.
Test(path_monitor, several_failures_and_a_failed_probe_are_a_partition) {
  path_monitor subject;
  subject.OnFailed("m1", At(0));
  const probes due = subject.TakeProbes(Known(), 1, At(0));
  cr_assert(due.size() == 2);
  // Another service says most.
  cr_assert(due.front() == "t1");
  subject.OnFailed(due[0], At(250));
  cr_assert(!subject.IsPartitioned());
  subject.OnFailed(due[1], At(251));
  cr_assert(subject.IsPartitioned());
}

// Guards against targets that crash together and are taken for a partition.
Test(path_monitor, one_connection_shows_that_the_path_is_sound) {
  path_monitor subject;
  for (const char* target : {"m1", "m2", "m3"}) {
    subject.OnFailed(target, At(0));
  }
  cr_assert(!subject.IsPartitioned(), "no probe has failed");
  cr_assert(subject.TakeProbes(Known(), 1, At(0)).empty());
  subject.OnConnected("t1", At(3));
  cr_assert(subject.failed_targets() == 0);
  subject.OnFailed("m1", At(100));
  cr_assert(!subject.IsPartitioned());
}

// Guards against blaming a target that is silent for a second: its path is
// probed, and nothing else happens.
Test(path_monitor, a_silent_target_is_probed) {
  path_monitor subject;
  subject.OnSent("m1", At(0));
  cr_assert(subject.TakeProbes(Known(), 1, At(300)).empty());
  cr_assert(subject.TakeProbes(Known(), 1, At(400)) == probes{"m1"});
  cr_assert(subject.TakeProbes(Known(), 1, At(500)).empty(), "still probed");
  subject.OnConnected("m1", At(501));
  cr_assert(subject.TakeProbes(Known(), 1, At(600)).empty(), "lately probed");
  cr_assert(!subject.IsPartitioned());
}

// Guards against probes of targets that answer.
Test(path_monitor, targets_that_answer_are_not_probed) {
  path_monitor subject;
  for (int i = 0; i < 20; ++i) {
    subject.OnSent("m1", At(100 * i));
    cr_assert(subject.TakeProbes(Known(), 1, At(100 * i)).empty());
    subject.OnHeard("m1", At(100 * i + 50));
  }
}

// Guards against a hang of all connections that is noticed too late: from the
// first request that gets no answer to the partition within a second.
Test(path_monitor, a_silent_cut_is_noticed_within_a_second) {
  path_monitor subject;
  subject.OnSent("m1", At(0));
  std::map<std::string, int> ends;
  int noticed = -1;
  for (int now = 0; now <= 2'000 && noticed < 0; now += 50) {
    for (auto next = ends.begin(); next != ends.end();) {
      if (next->second <= now) {
        subject.OnFailed(next->first, At(now));
        next = ends.erase(next);
      } else {
        ++next;
      }
    }
    for (const std::string& target : subject.TakeProbes(Known(), 1, At(now))) {
      ends[target] = now + 250;
    }
    noticed = subject.IsPartitioned() ? now : -1;
  }
  cr_assert(noticed >= 0 && noticed <= 1'000, "%d", noticed);
}

// Guards against a host that stays on the detour: any connection ends it.
Test(path_monitor, probes_go_on_until_a_target_is_reached) {
  path_monitor subject;
  for (const char* target : {"m1", "m2", "m3"}) {
    subject.OnFailed(target, At(0));
  }
  for (const std::string& target : subject.TakeProbes(Known(), 1, At(0))) {
    subject.OnFailed(target, At(1));
  }
  subject.OnFailed("t1", At(1));
  for (const std::string& target : subject.TakeProbes(Known(), 1, At(2))) {
    subject.OnFailed(target, At(3));
  }
  cr_assert(subject.IsPartitioned());
  int probed = 0;
  for (int now = 1'000; now < 4'000; now += 100) {
    for (const std::string& target : subject.TakeProbes(Known(), 1, At(now))) {
      ++probed;
      subject.OnFailed(target, At(now));
    }
  }
  cr_assert(probed >= 8 && probed <= 12, "%d", probed);
  subject.OnConnected("m2", At(4'000));
  cr_assert(!subject.IsPartitioned());
  cr_assert(subject.changed_at() == At(4'000));
}

// Guards against a service of two targets, both down, that is never noticed.
Test(path_monitor, fewer_targets_suffice_if_there_are_no_others) {
  const candidates two = {{"a", "s"}, {"b", "s"}};
  path_monitor subject;
  subject.OnFailed("a", At(0));
  cr_assert(subject.TakeProbes(two, 1, At(0)) == probes{"b"});
  subject.OnFailed("b", At(250));
  subject.TakeProbes(two, 1, At(250));
  cr_assert(subject.IsPartitioned());
}

// Guards against failures of targets that are gone.
Test(path_monitor, targets_that_have_left_do_not_count) {
  path_monitor subject;
  subject.OnFailed("gone1", At(0));
  subject.OnFailed("gone2", At(0));
  subject.TakeProbes(Known(), 1, At(1));
  cr_assert(subject.failed_targets() == 0);
}
