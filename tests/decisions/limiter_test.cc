#include <criterion/criterion.h>

#include <algorithm>
#include <queue>
#include <tuple>

#include "decisions/scheduling_fakes.h"

using namespace gentian;

namespace {

struct fault_rates {
  double loss = 0;
  double repeat = 0;
  double late = 0;
  double pause = 0;
  double restart = 0;
  double view_change = 0;
  /** Largest relative error of a daemon's clock rate. */
  double drift = 0;
};

// Limiters of several daemons that exchange delayed messages. Each daemon has
// its own clock; the simulation advances in true time.
class limiter_fleet {
 public:
  limiter_fleet(int size,
                double rate,
                double burst,
                fault_rates faults,
                std::uint64_t seed)
      : settings_(MakeSettings(size, 0, 0)), faults_(faults), random_(seed) {
    AddTeam(settings_, "t", rate, burst);
    rate_ = rate * (1 + faults.drift);
    burst_ = burst;
    level_ = burst;
    for (int i = 0; i < size; ++i) {
      daemons_.push_back(std::make_unique<daemon>());
      daemons_.back()->clock_rate =
          1 + faults.drift * (2 * random_.Uniform() - 1);
      daemons_.back()->clock_offset = 1'000 * random_.Uniform();
      Restart(i);
    }
    ShowAllMembers();
  }

  void Acquire(std::size_t at) {
    daemon& each = *daemons_[at];
    if (!Paused(each)) {
      Run(at, [&](node_context& context) {
        each.limiter->Acquire(++last_ticket_, team_id("t"), context);
      });
    }
  }

  /** Advances the simulation by one millisecond. */
  void Step() {
    ++now_ms_;
    while (!messages_.empty() && messages_.top().due <= now_ms_) {
      Deliver();
    }
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
      if (now_ms_ % 50 == static_cast<std::int64_t>(i) &&
          !Paused(*daemons_[i])) {
        Run(i, [&](node_context& context) {
          daemons_[i]->limiter->Tick(context);
        });
      }
    }
    if (now_ms_ % 100 == 0) {
      InjectFaults();
    }
  }

  std::int64_t now_ms() const { return now_ms_; }
  int spent = 0;
  int refused = 0;
  int overspent = 0;
  random_source& random() { return random_; }

 private:
  struct daemon {
    std::unique_ptr<fake_view> view;
    std::unique_ptr<team_limiter> limiter;
    std::uint64_t epoch = 0;
    double clock_rate = 1;
    double clock_offset = 0;
    std::int64_t paused_until = 0;
  };
  struct message {
    std::int64_t due = 0;
    std::uint64_t order = 0;
    std::size_t to = 0;
    incarnation from;
    peer_message body;
    bool operator<(const message& other) const {
      return std::tie(due, order) > std::tie(other.due, other.order);
    }
  };

  bool Paused(const daemon& each) const { return now_ms_ < each.paused_until; }

  void Restart(std::size_t i) {
    daemon& each = *daemons_[i];
    ++each.epoch;
    each.view = std::make_unique<fake_view>("d" + std::to_string(i), each.epoch,
                                            &settings_);
    each.limiter = std::make_unique<team_limiter>(*each.view);
  }

  void ShowAllMembers() {
    for (auto& each : daemons_) {
      each->view->members.clear();
      for (auto& other : daemons_) {
        member row;
        row.id = other->view->self();
        each->view->members.push_back(row);
      }
    }
  }

  void InjectFaults() {
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
      if (random_.Uniform() < faults_.restart) {
        Restart(i);
        ShowAllMembers();
      }
      if (random_.Uniform() < faults_.pause) {
        daemons_[i]->paused_until =
            now_ms_ + static_cast<std::int64_t>(random_.Below(6'000));
      }
      if (random_.Uniform() < faults_.view_change) {
        ShowAllMembers();
        auto& members = daemons_[i]->view->members;
        for (std::size_t k = members.size(); k-- > 0;) {
          if (k != i && random_.Uniform() < 0.4) {
            members.erase(members.begin() + static_cast<std::ptrdiff_t>(k));
          }
        }
      }
    }
  }

  template <typename Action>
  void Run(std::size_t i, Action action) {
    daemon& each = *daemons_[i];
    const double seconds = each.clock_offset + static_cast<double>(now_ms_) /
                                                   1'000 * each.clock_rate;
    std::vector<command> commands;
    counter_set counters;
    node_context context{steady_time(FromSeconds(seconds)), commands, counters,
                         random_};
    action(context);
    for (const limit_decision& decision : each.limiter->TakeDecisions()) {
      if (decision.refusal) {
        ++refused;
      } else {
        Spend();
      }
    }
    for (command& next : commands) {
      Send(i, std::get<send_to_peer>(std::move(next)));
    }
  }

  // Checks against one ideal token bucket that starts full. It goes below zero
  // if and only if some time window exceeds rate × time + burst.
  void Spend() {
    const double seconds = static_cast<double>(now_ms_ - level_at_) / 1'000;
    level_ = std::min(burst_, level_ + seconds * rate_) - 1;
    level_at_ = now_ms_;
    ++spent;
    overspent += level_ < -1e-6 ? 1 : 0;
  }

  void Send(std::size_t from, const send_to_peer& sent) {
    for (std::size_t to = 0; to < daemons_.size(); ++to) {
      if (daemons_[to]->view->self().host != sent.to ||
          random_.Uniform() < faults_.loss) {
        continue;
      }
      const int copies = random_.Uniform() < faults_.repeat ? 2 : 1;
      for (int k = 0; k < copies; ++k) {
        std::int64_t delay = 2 + static_cast<std::int64_t>(random_.Below(2));
        if (random_.Uniform() < faults_.late) {
          delay = static_cast<std::int64_t>(random_.Below(5'000));
        }
        messages_.push(message{now_ms_ + delay, ++last_message_, to,
                               daemons_[from]->view->self(), sent.message});
      }
    }
  }

  void Deliver() {
    message next = messages_.top();
    messages_.pop();
    daemon& each = *daemons_[next.to];
    if (Paused(each)) {
      next.due = each.paused_until;
      messages_.push(next);
      return;
    }
    Run(next.to, [&](node_context& context) {
      std::visit(
          [&](const auto& body) {
            using type = std::decay_t<decltype(body)>;
            if constexpr (std::is_same_v<type, grant_request> ||
                          std::is_same_v<type, grant_answer>) {
              each.limiter->Receive(next.from, body, context);
            } else if constexpr (std::is_same_v<type, share_offer> ||
                                 std::is_same_v<type, share_delegation> ||
                                 std::is_same_v<type, share_release>) {
              each.limiter->ReceiveShare(next.from, body, context);
            }
          },
          next.body);
    });
  }

  configuration settings_;
  fault_rates faults_;
  seeded_random random_;
  std::vector<std::unique_ptr<daemon>> daemons_;
  std::priority_queue<message> messages_;
  std::int64_t now_ms_ = 0;
  ticket_id last_ticket_ = 0;
  std::uint64_t last_message_ = 0;
  double rate_ = 0;
  double burst_ = 0;
  double level_ = 0;
  std::int64_t level_at_ = 0;
};

}  // namespace

// The fleet must never exceed rate × time + burst, even if messages are lost,
// delayed, repeated or reordered, daemons pause or restart, and their views of
// the membership differ.
Test(limiter_property, never_overspends_under_any_fault) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    seeded_random choice(seed * 7'919);
    fault_rates faults;
    faults.loss = choice.Uniform() * 0.2;
    faults.repeat = choice.Uniform() * 0.3;
    faults.late = choice.Uniform() * 0.3;
    faults.pause = choice.Uniform() * 0.01;
    faults.restart = seed % 3 == 0 ? 0.002 : 0;
    faults.view_change = choice.Uniform() * 0.02;
    faults.drift = seed % 2 == 0 ? 0.04 : 0;
    const int size = 2 + static_cast<int>(choice.Below(6));
    const double rate = 20 + 200 * choice.Uniform();
    limiter_fleet fleet(size, rate, 5 + rate * choice.Uniform(), faults, seed);
    for (int ms = 0; ms < 25'000; ++ms) {
      fleet.Step();
      // Alternates between idle periods, in which the buckets fill, and load
      // above the rate, which empties them.
      const bool flood = (ms / 3'000) % 2 == 0;
      if (flood && choice.Uniform() < rate * 3 / 1'000) {
        fleet.Acquire(choice.Below(static_cast<std::uint64_t>(size)));
      }
    }
    cr_assert(fleet.overspent == 0, "seed %lu: %d of %d requests too many",
              seed, fleet.overspent, fleet.spent);
    cr_assert(fleet.spent > 0);
  }
}

// Guards against refusing a team that stays within its rate, whether its
// requests arrive at one daemon or at many.
Test(limiter_property, refuses_nobody_within_the_rate_without_a_fault) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    const double rate = 10 + 8 * static_cast<double>(seed);
    const double burst = 5 + static_cast<double>(seed * 13 % 60);
    limiter_fleet fleet(7, rate, burst, {}, seed);
    double level = burst;
    std::size_t at = 0;
    int sent = 0;
    for (int ms = 0; ms < 30'000; ++ms) {
      fleet.Step();
      at = ms % 4'000 == 0 ? fleet.random().Below(7) : at;
      level = std::min(burst, level + rate / 1'000);
      const bool idle = (ms / 2'000) % 3 == 0;
      while (level >= 1 && !idle && ms > 1'500) {
        level -= 1;
        ++sent;
        fleet.Acquire(seed % 2 == 0 ? at : fleet.random().Below(7));
      }
    }
    for (int ms = 0; ms < 1'000; ++ms) {
      fleet.Step();
    }
    cr_assert(fleet.refused == 0, "seed %lu: %d of %d refused", seed,
              fleet.refused, sent);
    cr_assert(fleet.spent == sent);
  }
}
