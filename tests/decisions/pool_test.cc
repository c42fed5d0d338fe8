#include <criterion/criterion.h>

#include <deque>
#include <functional>
#include <set>

#include "decisions/scheduling_fakes.h"

using namespace gentian;

namespace {

// Several schedulers with messages between them that take a millisecond.
class scheduler_fleet {
 public:
  using filter = std::function<bool(std::size_t from, const send_to_peer&)>;

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
      each->subject.SetListener(&each->heard);
    }
  }

  /** Daemon that schedules pool `p`, by the rule of the specification. */
  std::size_t Scheduler() const {
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
  void Answer(std::size_t at, const target_order_answered& answer) {
    Run(at, [&](call_scheduler& subject, node_context& context) {
      subject.Receive(answer, context);
    });
  }

  void Pass(int length_ms) {
    for (int i = 0; i < length_ms; ++i) {
      now_ += milliseconds(1);
      std::deque<letter> due;
      due.swap(letters_);
      for (const letter& each : due) {
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

  /** The daemon stops; the others have noticed. */
  void Lose(std::size_t lost) {
    lost_.insert(lost);
    std::vector<member> left;
    for (const member& each : members_) {
      if (lost_.count(IndexOf(each.id.host)) == 0) {
        left.push_back(each);
      }
    }
    members_ = left;
    for (const auto& each : daemons_) {
      each->view.members = left;
    }
  }

  /** Targets that a call was dispatched to, in order. */
  std::vector<target_id> Dispatches(std::size_t at, ticket_id ticket) const {
    const auto& assigned = daemons_[at]->heard.assigned;
    const auto found = assigned.find(ticket);
    return found == assigned.end() ? std::vector<target_id>{} : found->second;
  }

  /** Calls that were dispatched and have not ended, with their targets. */
  std::map<std::pair<std::size_t, ticket_id>, target_id> Running() {
    for (std::size_t at = 0; at < daemons_.size(); ++at) {
      for (const auto& [ticket, targets] : daemons_[at]->heard.assigned) {
        if (seen_.insert({at, ticket}).second) {
          running_[{at, ticket}] = targets.back();
        }
      }
    }
    return running_;
  }

  configuration settings;
  /** Returns true for messages that get lost. */
  filter loses = [](std::size_t, const send_to_peer&) { return false; };
  std::vector<order_target> orders;

 private:
  struct daemon {
    daemon(const std::string& host, configuration* settings)
        : view(host, 1, settings) {}

    fake_view view;
    call_scheduler subject{view};
    fake_listener heard{subject};
    counter_set counters;
    seeded_random random{1};
  };
  struct letter {
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
    if (lost_.count(at) > 0) {
      return;
    }
    daemon& each = *daemons_[at];
    std::vector<command> commands;
    node_context context{now_, commands, each.counters, each.random};
    action(each.subject, context);
    for (const command& next : commands) {
      if (const auto* sent = std::get_if<send_to_peer>(&next)) {
        if (!loses(at, *sent)) {
          letters_.push_back(
              letter{each.view.self(), IndexOf(sent->to), sent->message});
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
  std::set<std::size_t> lost_;
  std::deque<letter> letters_;
  std::set<std::pair<std::size_t, ticket_id>> seen_;
  std::map<std::pair<std::size_t, ticket_id>, target_id> running_;
};

const call_usage kUsage{1'000, 0, 10};

}  // namespace

// Guards against a team beyond its share that crowds all engines and their
// caches, and against one that is held back while nobody else has calls.
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
  // Calls in flight stay where they are; later ones keep to the share.
  for (int i = 0; i < 30; ++i) {
    const auto running = fleet.Running();
    for (const auto& [call, target] : running) {
      if (call.second != quiet) {
        fleet.Finish(0, call.second, kUsage);
        break;
      }
    }
    fleet.Pass(50);
  }
  cr_assert(engines() == 2);
  cr_assert(fleet.Dispatches(0, quiet).size() == 1);
  fleet.Finish(0, quiet, kUsage);
  // The quiet team's programs may only pause.
  fleet.Pass(25'000);
  cr_assert(engines() == 2);
  fleet.Pass(6'000);
  cr_assert(engines() == 4);
}
