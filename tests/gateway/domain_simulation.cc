#include "gateway/domain_simulation.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace gentian {

namespace {

constexpr milliseconds kPrice{6};
constexpr duration kNever = std::chrono::hours(1);
constexpr milliseconds kUpdateInterval{200};
constexpr milliseconds kNearTrip{0};
constexpr std::chrono::microseconds kFarTrip{1'000};
// As measured: at any time, 15% of the machines take 2.5 times as long, and
// others do so 0.6 s later.
constexpr milliseconds kPaceInterval{600};
constexpr double kSlowShare = 0.15;
constexpr double kSlowPace = 2.5;
constexpr milliseconds kLoadWindow{500};
constexpr const char* kService = "model";

struct simulated_request {
  std::size_t gateway = 0;
  steady_time arrived;
  bool has_left = false;
};

struct simulated_target {
  target_record record;
  std::size_t domain = 0;
  int running = 0;
  std::deque<simulated_request> waiting;
  double pace = 1;
  bool is_lost = false;
};

struct second_count {
  double requests = 0;
  std::map<std::size_t, double> to;
};

class simulation {
 public:
  simulation(const simulation_settings& settings, const domain_policy& policy)
      : settings_(settings), policy_(policy), random_(settings.seed) {
    std::vector<target_record> listing;
    for (std::size_t d = 0; d < settings.domains.size(); ++d) {
      const simulated_domain& domain = settings.domains[d];
      for (int i = 0; i < domain.targets; ++i) {
        simulated_target target;
        target.record.id = domain.name + "-" + std::to_string(i);
        target.record.service = kService;
        target.record.failure_domain = domain.name;
        target.record.slots = settings.slots;
        target.domain = d;
        listing.push_back(target.record);
        index_[target.record.id] = targets_.size();
        targets_.push_back(std::move(target));
      }
      for (int i = 0; i < domain.gateways; ++i) {
        auto gateway = std::make_unique<simulated_gateway>();
        gateway->domain = domain.name;
        gateway->router = std::make_unique<domain_router>(
            domain.name, kPrice, StableHash(domain.name) + i);
        by_domain_[d].push_back(gateways_.size());
        gateways_.push_back(std::move(gateway));
      }
    }
    for (const auto& gateway : gateways_) {
      gateway->targets.Update(listing, start_);
    }
    loads_.resize(gateways_.size());
    window_load_.resize(settings.domains.size());
    window_max_.resize(settings.domains.size());
    total_load_.resize(settings.domains.size());
  }

  simulation_result Run() {
    for (std::size_t d = 0; d < settings_.domains.size(); ++d) {
      ScheduleArrival(d);
      if (settings_.domains[d].lost_at) {
        At(start_ + *settings_.domains[d].lost_at, [this, d] { Lose(d); });
      }
    }
    ChangePaces();
    SampleLoads();
    while (!events_.empty() && events_.top().at < start_ + settings_.length) {
      const event next = events_.top();
      events_.pop();
      now_ = next.at;
      next.action();
    }
    return Result();
  }

 private:
  struct event {
    steady_time at;
    std::uint64_t number;
    std::function<void()> action;
    bool operator<(const event& other) const {
      return std::tie(other.at, other.number) < std::tie(at, number);
    }
  };

  void At(steady_time at, std::function<void()> action) {
    events_.push({at, ++last_event_, std::move(action)});
  }

  bool IsMeasured(steady_time at) const {
    return at >= start_ + settings_.measured_from;
  }

  double Exponential() { return -std::log(1 - random_.Uniform()); }

  // Arrivals at a varying rate, by thinning of those at a fixed one.
  void ScheduleArrival(std::size_t d) {
    constexpr double kMostPerSecond = 2'000;
    At(now_ + FromSeconds(Exponential() / kMostPerSecond), [this, d] {
      if (random_.Uniform() * kMostPerSecond <
          settings_.domains[d].rate(now_ - start_)) {
        const std::vector<std::size_t>& at = by_domain_[d];
        Dispatch({at[random_.Below(at.size())], now_, false});
      }
      ScheduleArrival(d);
    });
  }

  const std::map<std::string, domain_load>& UpdateLoads(std::size_t g) {
    simulated_gateway& gateway = *gateways_[g];
    if (loads_[g].empty() || now_ - gateway.updated_at >= kUpdateInterval) {
      gateway.updated_at = now_;
      loads_[g] =
          LoadsByDomain(gateway.targets, kService, PlainWeights(now_), now_);
      for (auto& [name, load] : loads_[g]) {
        load.gateways = static_cast<std::size_t>(
            std::count_if(gateways_.begin(), gateways_.end(),
                          [&name = name](const auto& other) {
                            return other->domain != name;
                          }));
      }
      gateway.router->Update(loads_[g], settings_.request_time, now_);
    }
    return loads_[g];
  }

  void Dispatch(simulated_request request) {
    simulated_gateway& gateway = *gateways_[request.gateway];
    const auto& loads = UpdateLoads(request.gateway);
    const std::optional<domain_charges> charges =
        policy_(gateway, loads, random_);
    target_requirements demand;
    demand.service = kService;
    demand.failure_domain = gateway.domain;
    demand.charges = charges ? &*charges : nullptr;
    const known_target* chosen = SelectTarget(gateway.targets, demand, now_);
    if (chosen == nullptr) {
      return;
    }
    const std::size_t t = index_.at(chosen->record.id);
    request.has_left = chosen->record.failure_domain != gateway.domain;
    gateway.targets.RequestStarted(chosen->record.id);
    if (IsMeasured(now_)) {
      second_count& second =
          seconds_[{DomainOf(request.gateway),
                    ToMilliseconds(now_ - start_).count() / 1'000}];
      second.requests += 1;
      if (request.has_left) {
        second.to[targets_[t].domain] += 1;
      }
    }
    At(now_ + Trip(request), [this, request, t] { OnArrived(request, t); });
  }

  std::size_t DomainOf(std::size_t gateway) const {
    for (const auto& [d, at] : by_domain_) {
      if (std::find(at.begin(), at.end(), gateway) != at.end()) {
        return d;
      }
    }
    return 0;
  }

  static duration Trip(const simulated_request& request) {
    return request.has_left ? duration(kFarTrip) : duration(kNearTrip);
  }

  void OnArrived(const simulated_request& request, std::size_t t) {
    simulated_target& target = targets_[t];
    if (target.is_lost) {
      Retry(request);
    } else if (target.running < settings_.slots) {
      Start(request, t);
    } else {
      target.waiting.push_back(request);
    }
  }

  void Start(const simulated_request& request, std::size_t t) {
    simulated_target& target = targets_[t];
    ++target.running;
    // Half of the time is fixed.
    const double factor = 0.5 + 0.5 * Exponential();
    const double pace =
        target.pace * settings_.domains[target.domain].pace(now_ - start_);
    At(now_ + FromSeconds(ToSeconds(settings_.request_time) * factor * pace),
       [this, request, t] { OnDone(request, t); });
  }

  void OnDone(const simulated_request& request, std::size_t t) {
    simulated_target& target = targets_[t];
    if (target.is_lost) {
      Retry(request);
      return;
    }
    --target.running;
    if (!target.waiting.empty()) {
      const simulated_request next = target.waiting.front();
      target.waiting.pop_front();
      Start(next, t);
    }
    const reported_load load = {
        target.running, static_cast<int>(target.waiting.size()), now_,
        target.pace * settings_.domains[target.domain].pace(now_ - start_)};
    At(now_ + Trip(request), [this, request, t] {
      simulated_gateway& gateway = *gateways_[request.gateway];
      gateway.targets.RequestEnded(targets_[t].record.id);
      if (IsMeasured(request.arrived)) {
        times_ms_.push_back(1e3 * ToSeconds(now_ - request.arrived) +
                            (request.has_left ? kPrice.count() : 0));
      }
    });
    At(now_ + Trip(request) + settings_.report_delay, [this, request, t, load] {
      gateways_[request.gateway]->targets.ReportLoad(targets_[t].record.id,
                                                     load);
    });
  }

  void Retry(const simulated_request& request) {
    At(now_ + milliseconds(1), [this, request] { Dispatch(request); });
  }

  void Lose(std::size_t d) {
    std::vector<target_record> listing;
    for (simulated_target& target : targets_) {
      if (target.domain == d) {
        target.is_lost = true;
        for (const simulated_request& request : target.waiting) {
          Retry(request);
        }
        target.waiting.clear();
        target.running = 0;
      } else {
        listing.push_back(target.record);
      }
    }
    for (const auto& gateway : gateways_) {
      gateway->targets.Update(listing, now_);
    }
  }

  void ChangePaces() {
    for (simulated_target& target : targets_) {
      target.pace = random_.Uniform() < kSlowShare ? kSlowPace : 1.0;
    }
    At(now_ + kPaceInterval, [this] { ChangePaces(); });
  }

  void SampleLoads() {
    constexpr milliseconds kInterval{10};
    if (IsMeasured(now_)) {
      for (std::size_t d = 0; d < settings_.domains.size(); ++d) {
        double load = 0;
        for (const simulated_target& target : targets_) {
          if (target.domain == d) {
            load += target.running + static_cast<double>(target.waiting.size());
          }
        }
        const double relative =
            load / std::max(1, settings_.domains[d].targets * settings_.slots);
        total_load_[d] += relative;
        window_load_[d].push_back(relative);
        if (window_load_[d].size() >
            static_cast<std::size_t>(kLoadWindow / kInterval)) {
          window_load_[d].pop_front();
        }
        double sum = 0;
        for (const double next : window_load_[d]) {
          sum += next;
        }
        window_max_[d] = std::max(
            window_max_[d], sum / static_cast<double>(kLoadWindow / kInterval));
      }
      ++samples_;
    }
    At(now_ + kInterval, [this] { SampleLoads(); });
  }

  simulation_result Result() {
    simulation_result result;
    std::sort(times_ms_.begin(), times_ms_.end());
    for (const double time : times_ms_) {
      result.mean_ms += time / static_cast<double>(times_ms_.size());
    }
    result.late_ms = times_ms_[times_ms_.size() * 99 / 100];
    std::map<std::size_t, double> requests;
    std::map<std::size_t, double> left;
    std::map<std::size_t, double> last_share;
    double crossed = 0;
    double all = 0;
    for (const auto& [key, second] : seconds_) {
      const auto& [d, number] = key;
      double away = 0;
      for (const auto& [other, count] : second.to) {
        away += count;
        const auto back = seconds_.find({other, number});
        if (other < d && back != seconds_.end() &&
            back->second.to.count(d) > 0) {
          crossed += std::min(count, back->second.to.at(d));
        }
      }
      requests[d] += second.requests;
      left[d] += away;
      all += second.requests;
      const double share = away / second.requests;
      if (last_share.count(d) > 0) {
        result.largest_step =
            std::max(result.largest_step, std::abs(share - last_share[d]));
      }
      last_share[d] = share;
    }
    for (std::size_t d = 0; d < settings_.domains.size(); ++d) {
      const std::string& name = settings_.domains[d].name;
      result.left[name] = left[d] / std::max(1.0, requests[d]);
      result.peak_load[name] = window_max_[d];
      result.mean_load[name] = total_load_[d] / samples_;
    }
    result.crossed = crossed / std::max(1.0, all);
    return result;
  }

  const simulation_settings& settings_;
  const domain_policy& policy_;
  seeded_random random_;
  steady_time start_ = steady_time(std::chrono::hours(1));
  steady_time now_ = start_;
  std::vector<simulated_target> targets_;
  std::map<std::string, std::size_t> index_;
  std::vector<std::unique_ptr<simulated_gateway>> gateways_;
  std::map<std::size_t, std::vector<std::size_t>> by_domain_;
  std::vector<std::map<std::string, domain_load>> loads_;
  std::priority_queue<event> events_;
  std::uint64_t last_event_ = 0;
  std::vector<double> times_ms_;
  std::map<std::pair<std::size_t, std::int64_t>, second_count> seconds_;
  std::vector<std::deque<double>> window_load_;
  std::vector<double> window_max_;
  std::vector<double> total_load_;
  double samples_ = 0;
};

domain_charges OnlyTo(const std::string& domain) {
  domain_charges charges;
  charges.own_domain = domain;
  charges.unplanned = kNever;
  return charges;
}

}  // namespace

domain_policy ComparesDomainLast() {
  return [](simulated_gateway&, const std::map<std::string, domain_load>&,
            seeded_random&) { return std::optional<domain_charges>(); };
}

domain_policy StaysUnlessLost() {
  return [](simulated_gateway& gateway,
            const std::map<std::string, domain_load>&, seeded_random&) {
    return std::optional<domain_charges>(OnlyTo(gateway.domain));
  };
}

domain_policy LeavesAboveThreshold() {
  return [](simulated_gateway& gateway,
            const std::map<std::string, domain_load>& loads, seeded_random&) {
    constexpr double kThreshold = 0.9;
    const auto usage = [](const domain_load& load) {
      return load.capacity > 0 ? load.load / load.capacity : kThreshold;
    };
    const auto own = loads.find(gateway.domain);
    std::string best = gateway.domain;
    if (own == loads.end() || usage(own->second) > kThreshold) {
      double least = own == loads.end() ? 1e9 : usage(own->second);
      for (const auto& [domain, load] : loads) {
        if (usage(load) < least) {
          least = usage(load);
          best = domain;
        }
      }
    }
    return std::optional<domain_charges>(OnlyTo(best));
  };
}

domain_policy SplitsByCapacity() {
  return [](simulated_gateway& gateway,
            const std::map<std::string, domain_load>& loads,
            seeded_random& random) {
    double all = 0;
    for (const auto& [domain, load] : loads) {
      all += load.capacity;
    }
    double drawn = random.Uniform() * all;
    for (const auto& [domain, load] : loads) {
      drawn -= load.capacity;
      if (drawn < 0) {
        return std::optional<domain_charges>(OnlyTo(domain));
      }
    }
    return std::optional<domain_charges>(OnlyTo(gateway.domain));
  };
}

domain_policy ChargesOnly() {
  return [](simulated_gateway& gateway,
            const std::map<std::string, domain_load>&, seeded_random&) {
    domain_charges charges;
    charges.own_domain = gateway.domain;
    charges.price = kPrice;
    charges.unplanned = kPrice;
    charges.request_time = milliseconds(200);
    return std::optional<domain_charges>(charges);
  };
}

domain_policy RoutesByShare() {
  return [](simulated_gateway& gateway,
            const std::map<std::string, domain_load>&, seeded_random&) {
    return std::optional<domain_charges>(gateway.router->NextCharges());
  };
}

simulation_result Simulate(const simulation_settings& settings,
                           const domain_policy& policy) {
  return simulation(settings, policy).Run();
}

}  // namespace gentian
