#include "scheduler_router.h"

#include <utility>

namespace gentian::bench {

namespace {

constexpr double kBetweenDomainsMs = 1.5;
constexpr double kWithinDomainMs = 0.2;

}  // namespace

class scheduler_router::daemon_listener : public call_scheduling::listener {
 public:
  daemon_listener(scheduler_router& owner, call_scheduler& scheduler)
      : owner_(owner), scheduler_(scheduler) {}

  void CallAdmitted(ticket_id ticket, node_context& context) override {
    owner_.host_.NoteAdmitted(ticket);
    scheduler_.Enqueue(ticket, context);
  }
  void CallAssigned(ticket_id ticket,
                    const target_settings& target,
                    node_context& /*context*/) override {
    owner_.host_.StartAt(ticket, target.id);
  }
  void CallRefused(ticket_id ticket,
                   const error& reason,
                   node_context& /*context*/) override {
    owner_.owners_.erase(ticket);
    const milliseconds wait = reason.retry_after.value_or(milliseconds(1'000));
    owner_.host_.Refuse(ticket, static_cast<double>(wait.count()));
  }

 private:
  scheduler_router& owner_;
  call_scheduler& scheduler_;
};

scheduler_router::scheduler_router(configuration settings,
                                   virtual_clock& clock,
                                   router_host& host,
                                   std::uint64_t seed)
    : settings_(std::move(settings)), clock_(clock), host_(host) {
  std::vector<member> members;
  for (const auto& [id, row] : settings_.daemons) {
    member each;
    each.id = incarnation{id, 1};
    each.failure_domain = row.failure_domain;
    index_[id] = members.size();
    members.push_back(each);
  }
  for (std::size_t i = 0; i < members.size(); ++i) {
    daemon each;
    each.view =
        std::make_unique<fake_view>(members[i].id.host.text(), 1, &settings_);
    each.view->members = members;
    each.scheduler = std::make_unique<call_scheduler>(*each.view);
    each.heard = std::make_unique<daemon_listener>(*this, *each.scheduler);
    each.scheduler->SetListener(each.heard.get());
    each.random = std::make_unique<seeded_random>(seed * 100 + i);
    daemons_.push_back(std::move(each));
    // The daemons' ticks are spread over the interval.
    const double interval = static_cast<double>(kTickInterval.count());
    clock_.After(
        interval * static_cast<double>(i) / static_cast<double>(members.size()),
        [this, i] { Tick(i); });
  }
}

scheduler_router::~scheduler_router() = default;

double scheduler_router::DelayMs(std::size_t from, std::size_t to) const {
  const auto& members = daemons_[0].view->members;
  return members[from].failure_domain == members[to].failure_domain
             ? kWithinDomainMs
             : kBetweenDomainsMs;
}

void scheduler_router::Run(std::size_t at, const step_action& action) {
  daemon& each = daemons_[at];
  std::vector<command> commands;
  node_context context{clock_.now(), commands, each.counters, *each.random};
  action(*each.scheduler, context);
  for (command& next : commands) {
    if (auto* sent = std::get_if<send_to_peer>(&next)) {
      const std::size_t to = index_.at(sent->to);
      const incarnation from = each.view->self();
      clock_.After(DelayMs(at, to),
                   [this, to, from, message = std::move(sent->message)] {
                     Run(to, [&](call_scheduler& target, node_context& step) {
                       target.Receive(from, message, step);
                     });
                   });
    } else if (auto* order = std::get_if<order_target>(&next)) {
      host_.Order(at, *order);
    }
  }
}

void scheduler_router::Tick(std::size_t at) {
  Run(at, [](call_scheduler& scheduler, node_context& context) {
    scheduler.Tick(context);
  });
  clock_.After(static_cast<double>(kTickInterval.count()),
               [this, at] { Tick(at); });
}

void scheduler_router::Begin(const call_request& request) {
  owners_[request.number] = request.daemon;
  Run(request.daemon, [&](call_scheduler& scheduler, node_context& context) {
    scheduler.Admit(request.item, context);
  });
}

void scheduler_router::Finished(call_number call, const call_usage& usage) {
  Run(owners_.at(call), [&](call_scheduler& scheduler, node_context& context) {
    scheduler.Finish(call, usage, context);
  });
  owners_.erase(call);
}

void scheduler_router::Failed(call_number call, target_failure failure) {
  const std::size_t at = owners_.at(call);
  std::optional<milliseconds> delay;
  Run(at, [&](call_scheduler& scheduler, node_context& context) {
    delay = scheduler.Fail(call, failure, true, context);
  });
  if (!delay) {
    owners_.erase(call);
    host_.GiveUp(call);
    return;
  }
  clock_.After(static_cast<double>(delay->count()), [this, at, call] {
    Run(at, [&](call_scheduler& scheduler, node_context& context) {
      scheduler.Enqueue(call, context);
    });
  });
}

void scheduler_router::SessionEnded(std::size_t daemon,
                                    const session_id& session) {
  Run(daemon, [&](call_scheduler& scheduler, node_context& context) {
    scheduler.SessionEnded(session, context);
  });
}

void scheduler_router::Receive(std::size_t daemon, const target_load& load) {
  Run(daemon, [&](call_scheduler& scheduler, node_context& context) {
    scheduler.Receive(load, context);
  });
}

void scheduler_router::Receive(std::size_t daemon,
                               const target_cache_event& event) {
  Run(daemon, [&](call_scheduler& scheduler, node_context& context) {
    scheduler.Receive(event, context);
  });
}

void scheduler_router::Receive(std::size_t daemon,
                               const target_order_answered& answer) {
  Run(daemon, [&](call_scheduler& scheduler, node_context& context) {
    scheduler.Receive(answer, context);
  });
}

std::uint64_t scheduler_router::Counter(const std::string& name) const {
  std::uint64_t sum = 0;
  for (const daemon& each : daemons_) {
    sum += each.counters.Value(name);
  }
  return sum;
}

}  // namespace gentian::bench
