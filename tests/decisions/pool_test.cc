#include <criterion/criterion.h>

#include <deque>
#include <functional>
#include <set>

#include "decisions/scheduling_fakes.h"

using namespace gentian;

namespace {

// Several schedulers that exchange messages with a latency of 1 ms.
class scheduler_fleet {
 public:
  using message_filter =
      std::function<bool(std::size_t from, const send_to_peer&)>;

  scheduler_fleet(int size, int engines, std::uint32_t slots)
      : settings(MakeSettings(size, engines, slots)) {
    AddTeam(settings, "t", 1e6, 1e6);
    for (int i = 0; i < size; ++i) {
      daemons_.push_back(
          std::make_unique<daemon>("d" + std::to_string(i), &settings));
      member added;
      added.id = daemons_.back()->view.self();
      members_.push_back(added);
    }
    for (const auto& each : daemons_) {
      each->view.members = members_;
      each->subject.SetListener(&each->listener);
    }
  }

  /** Index of the daemon that must schedule pool `p`, by rendezvous hashing. */
  std::size_t PoolScheduler() const {
    std::vector<host_id> hosts;
    for (const member& each : members_) {
      hosts.push_back(each.id.host);
    }
    return IndexOf(RendezvousOrder("pool-p", hosts).front());
  }

  void Admit(std::size_t at, const work_item& item) {
    Run(at, [&](call_scheduler& subject, node_context& context) {
      subject.Admit(item, context);
    });
  }
  void Finish(std::size_t at, ticket_id ticket, const call_usage& usage) {
    running_.erase({at, ticket});
    Run(at, [&](call_scheduler& subject, node_context& context) {
      subject.Finish(ticket, usage, context);
    });
  }
  void Withdraw(std::size_t at, ticket_id ticket) {
    running_.erase({at, ticket});
    Run(at, [&](call_scheduler& subject, node_context& context) {
      subject.Withdraw(ticket, context);
    });
  }
  void AnswerOrder(std::size_t at, const target_order_answered& answer) {
    Run(at, [&](call_scheduler& subject, node_context& context) {
      subject.Receive(answer, context);
    });
  }

  void Advance(int length_ms) {
    for (int i = 0; i < length_ms; ++i) {
      now_ += milliseconds(1);
      std::deque<queued_message> due;
      due.swap(messages_);
      for (const queued_message& each : due) {
        Run(each.to, [&](call_scheduler& subject, node_context& context) {
          subject.Receive(each.from, each.body, context);
        });
      }
      if (++elapsed_ % kTickInterval.count() == 0) {
        for (std::size_t at = 0; at < daemons_.size(); ++at) {
          Run(at, [](call_scheduler& subject, node_context& context) {
            subject.Tick(context);
          });
        }
      }
    }
  }

  /** Stops a daemon and removes it from the members that the others see. */
  void StopDaemon(std::size_t stopped) {
    stopped_.insert(stopped);
    std::vector<member> left;
    for (const member& each : members_) {
      if (stopped_.count(IndexOf(each.id.host)) == 0) {
        left.push_back(each);
      }
    }
    members_ = left;
    for (const auto& each : daemons_) {
      each->view.members = left;
    }
  }

  /** Targets to which a call was dispatched, in order. */
  std::vector<target_id> Dispatches(std::size_t at, ticket_id ticket) const {
    const auto& assigned = daemons_[at]->listener.assigned;
    const auto found = assigned.find(ticket);
    return found == assigned.end() ? std::vector<target_id>{} : found->second;
  }

  /** Dispatched calls that have not ended, with their targets. */
  std::map<std::pair<std::size_t, ticket_id>, target_id> Running() {
    for (std::size_t at = 0; at < daemons_.size(); ++at) {
      for (const auto& [ticket, targets] : daemons_[at]->listener.assigned) {
        if (seen_.insert({at, ticket}).second) {
          running_[{at, ticket}] = targets.back();
        }
      }
    }
    return running_;
  }

  configuration settings;
  /** Returns true for messages to be dropped. */
  message_filter drops_message = [](std::size_t, const send_to_peer&) {
    return false;
  };
  std::vector<order_target> orders;

 private:
  struct daemon {
    daemon(const std::string& host, configuration* settings)
        : view(host, 1, settings) {}

    fake_view view;
    call_scheduler subject{view};
    fake_listener listener{subject};
    counter_set counters;
    seeded_random random{1};
  };
  struct queued_message {
    incarnation from;
    std::size_t to = 0;
    peer_message body;
  };

  std::size_t IndexOf(const host_id& host) const {
    std::size_t index = 0;
    while (daemons_[index]->view.self().host != host) {
      ++index;
    }
    return index;
  }

  void Run(std::size_t at,
           const std::function<void(call_scheduler&, node_context&)>& action) {
    if (stopped_.count(at) > 0) {
      return;
    }
    daemon& each = *daemons_[at];
    std::vector<command> commands;
    node_context context{now_, commands, each.counters, each.random};
    action(each.subject, context);
    for (const command& next : commands) {
      if (const auto* sent = std::get_if<send_to_peer>(&next)) {
        if (!drops_message(at, *sent)) {
          messages_.push_back(queued_message{each.view.self(),
                                             IndexOf(sent->to), sent->message});
        }
      } else if (const auto* order = std::get_if<order_target>(&next)) {
        orders.push_back(*order);
      }
    }
  }

  steady_time now_ = steady_time(std::chrono::hours(1));
  std::int64_t elapsed_ = 0;
  std::vector<std::unique_ptr<daemon>> daemons_;
  std::vector<member> members_;
  std::set<std::size_t> stopped_;
  std::deque<queued_message> messages_;
  std::set<std::pair<std::size_t, ticket_id>> seen_;
  std::map<std::pair<std::size_t, ticket_id>, target_id> running_;
};

const call_usage kUsage{1'000, 0, 10};

}  // namespace

// Guards against calls that wait for a scheduling daemon that does not answer,
// and against a daemon that then uses more than its share of the slots.
Test(pool_silence, a_daemon_schedules_its_part_of_the_slots_after_300_ms) {
  scheduler_fleet fleet(2, 2, 4);
  const std::size_t silent = fleet.PoolScheduler();
  const std::size_t other = 1 - silent;
  fleet.drops_message = [&](std::size_t from, const send_to_peer& /*sent*/) {
    return from == silent;
  };
  for (ticket_id ticket = 1; ticket <= 20; ++ticket) {
    fleet.Admit(other, MakeItem(ticket, "t"));
  }
  fleet.Advance(290);
  cr_assert(fleet.Running().empty());
  fleet.Advance(2 * static_cast<int>(kTickInterval.count()));
  cr_assert(fleet.Running().size() == 4);
  fleet.Advance(5'000);
  cr_assert(fleet.Running().size() == 4);
}

// Guards against a change of the scheduling daemon that loses calls, dispatches
// a call twice or does not count the running calls.
Test(pool_takeover, loses_no_call_and_repeats_none) {
  scheduler_fleet fleet(3, 1, 2);
  const std::size_t first = fleet.PoolScheduler();
  std::vector<std::size_t> others;
  for (std::size_t at = 0; at < 3; ++at) {
    if (at != first) {
      others.push_back(at);
    }
  }
  for (ticket_id ticket = 1; ticket <= 5; ++ticket) {
    for (const std::size_t at : others) {
      fleet.Admit(at, MakeItem(ticket, "t",
                               "s" + std::to_string(at) + "-" +
                                   std::to_string(ticket)));
    }
  }
  fleet.Advance(200);
  cr_assert(fleet.Running().size() == 2);
  fleet.StopDaemon(first);
  std::size_t ended = 0;
  for (int round = 0; round < 40; ++round) {
    fleet.Advance(1'200);
    const auto running = fleet.Running();
    cr_assert(running.size() <= 2);
    if (!running.empty()) {
      const auto [at, ticket] = running.begin()->first;
      fleet.Finish(at, ticket, kUsage);
      ++ended;
    }
  }
  cr_assert(ended == 10);
  for (const std::size_t at : others) {
    for (ticket_id ticket = 1; ticket <= 5; ++ticket) {
      cr_assert(fleet.Dispatches(at, ticket).size() == 1);
    }
  }
}

// Guards against a call that occupies a slot but is never dispatched, because
// the message with its assignment was lost.
Test(pool_assignment, is_repeated_when_its_message_is_lost) {
  scheduler_fleet fleet(2, 1, 1);
  const std::size_t scheduler = fleet.PoolScheduler();
  const std::size_t other = 1 - scheduler;
  int lost = 0;
  fleet.drops_message = [&](std::size_t /*from*/, const send_to_peer& sent) {
    const bool first =
        lost == 0 && std::holds_alternative<pool_assignment>(sent.message);
    lost += first ? 1 : 0;
    return first;
  };
  fleet.Admit(other, MakeItem(1, "t"));
  fleet.Admit(other, MakeItem(2, "t"));
  fleet.Advance(500);
  cr_assert(lost == 1);
  cr_assert(fleet.Running().empty());
  fleet.Advance(1'000);
  cr_assert(fleet.Running().size() == 1);
  const ticket_id ticket = fleet.Running().begin()->first.second;
  fleet.Advance(3'000);
  cr_assert(fleet.Dispatches(other, ticket).size() == 1);
  fleet.Finish(other, ticket, kUsage);
  fleet.Advance(100);
  cr_assert(fleet.Dispatches(other, 3 - ticket).size() == 1);
}

// Guards against service in proportion to the calls that teams send instead of
// their weights.
Test(pool_order, teams_are_served_by_weight) {
  scheduler_fleet fleet(1, 1, 1);
  AddTeam(fleet.settings, "heavy", 1e6, 1e6, 3);
  AddTeam(fleet.settings, "light", 1e6, 1e6, 1);
  // The light team sends first, and twice as many calls.
  for (ticket_id ticket = 1; ticket <= 200; ++ticket) {
    fleet.Admit(0, MakeItem(ticket, "light"));
  }
  for (ticket_id ticket = 201; ticket <= 300; ++ticket) {
    fleet.Admit(0, MakeItem(ticket, "heavy"));
  }
  int heavy = 0;
  for (int served = 0; served < 80; ++served) {
    fleet.Advance(50);
    const auto running = fleet.Running();
    cr_assert(running.size() == 1);
    const ticket_id ticket = running.begin()->first.second;
    heavy += ticket > 200 ? 1 : 0;
    fleet.Finish(0, ticket, kUsage);
  }
  cr_assert(heavy >= 57 && heavy <= 63, "heavy got %d of 80", heavy);
}

// Guards against priorities that are ignored and against starvation of a lower
// priority class.
Test(pool_order, a_lower_class_waits_no_longer_than_max_wait) {
  scheduler_fleet fleet(1, 1, 1);
  fleet.settings.fleet.max_wait = milliseconds(5'000);
  work_item low = MakeItem(1, "t");
  ticket_id last = 2;
  const auto admit_high = [&] {
    work_item high = MakeItem(last++, "t");
    high.priority = 5;
    fleet.Admit(0, high);
  };
  admit_high();
  fleet.Admit(0, low);
  int waited = 0;
  while (fleet.Dispatches(0, 1).empty() && waited < 10'000) {
    admit_high();
    fleet.Advance(100);
    waited += 100;
    fleet.Finish(0, fleet.Running().begin()->first.second, kUsage);
  }
  cr_assert(waited >= 5'000 && waited <= 5'200, "waited %d ms", waited);
}

// Guards against a call that waits forever for the import of its cache, and
// against a second dispatch when the answer arrives late.
Test(pool_import, a_call_starts_without_its_cache_after_the_timeout) {
  scheduler_fleet fleet(1, 2, 1);
  work_item first = MakeItem(1, "t", "s");
  first.prompt_tokens = 50'000;
  fleet.Admit(0, first);
  const target_id holder = fleet.Dispatches(0, 1).front();
  fleet.Finish(0, 1, {50'000, 0, 10});
  fleet.Admit(0, MakeItem(2, "t"));
  fleet.Admit(0, MakeItem(3, "t"));
  const bool second_at_holder = fleet.Dispatches(0, 2).front() == holder;
  fleet.Finish(0, second_at_holder ? 3 : 2, kUsage);
  work_item next = MakeItem(4, "t", "s");
  next.prompt_tokens = 51'000;
  fleet.Admit(0, next);
  const auto import = [&]() -> const order_target* {
    for (const order_target& each : fleet.orders) {
      if (std::holds_alternative<import_cache>(each.body)) {
        return &each;
      }
    }
    return nullptr;
  };
  for (int i = 0; i < 100 && import() == nullptr; ++i) {
    fleet.Advance(50);
  }
  cr_assert(import() != nullptr);
  cr_assert(import()->target != holder);
  fleet.Advance(1'900);
  cr_assert(fleet.Dispatches(0, 4).empty());
  fleet.Advance(200);
  cr_assert(fleet.Dispatches(0, 4).size() == 1);
  cr_assert(fleet.Dispatches(0, 4).front() != holder);
  target_order_answered late;
  late.id = import()->id;
  late.ok = true;
  fleet.AnswerOrder(0, late);
  fleet.Advance(3'000);
  cr_assert(fleet.Dispatches(0, 4).size() == 1);
}

// Guards against a team with excess demand that fills all engines and their
// caches, and against restricting a team while no other team has calls.
Test(pool_excess, a_team_beyond_its_share_keeps_to_its_engines) {
  scheduler_fleet fleet(1, 4, 4);
  AddTeam(fleet.settings, "noisy", 1e6, 1e6);
  AddTeam(fleet.settings, "quiet", 1e6, 1e6);
  for (ticket_id ticket = 1; ticket <= 100; ++ticket) {
    fleet.Admit(0, MakeItem(ticket, "noisy"));
  }
  const ticket_id quiet = 101;
  fleet.Admit(0, MakeItem(quiet, "quiet"));
  const auto engines = [&] {
    std::set<target_id> used;
    for (const auto& [call, target] : fleet.Running()) {
      if (call.second != quiet) {
        used.insert(target);
      }
    }
    return used.size();
  };
  cr_assert(engines() == 4);
  // Running calls are not moved; later calls stay within the team's share.
  for (int i = 0; i < 30; ++i) {
    const auto running = fleet.Running();
    for (const auto& [call, target] : running) {
      if (call.second != quiet) {
        fleet.Finish(0, call.second, kUsage);
        break;
      }
    }
    fleet.Advance(50);
  }
  cr_assert(engines() == 2);
  cr_assert(fleet.Dispatches(0, quiet).size() == 1);
  fleet.Finish(0, quiet, kUsage);
  // The quiet team keeps its share for 30 s, as its programs may be pausing.
  fleet.Advance(25'000);
  cr_assert(engines() == 2);
  fleet.Advance(6'000);
  cr_assert(engines() == 4);
}
