#include "gateway/target_simulation.h"

#include <algorithm>
#include <numeric>

namespace gentian {

namespace {

constexpr double kTick = 0.005;
constexpr double kDisturbanceInterval = 0.6;
constexpr double kDisturbedPace = 2.5;
constexpr double kSlowness = 2;

struct simulated_request {
  std::size_t gateway = 0;
  double sent_at = 0;
  double left_s = 0;
};

struct simulated_target {
  std::deque<simulated_request> held;
  double slowness = 1;
  double pace = 1;
  /** What it reported at the last ticks; the oldest first. */
  std::deque<reported_load> reports;
};

steady_time At(double seconds) {
  return steady_time(std::chrono::hours(1)) + FromSeconds(seconds);
}

std::string IdOf(std::size_t target) {
  return "target-" + std::to_string(100 + target);
}

std::size_t IndexOf(const known_target& target) {
  return std::stoul(target.record.id.substr(7)) - 100;
}

}  // namespace

simulated_outcome Simulate(const simulated_load& load,
                           bool reports_pace,
                           const simulated_choice& choose) {
  std::mt19937 random(load.seed);
  std::uniform_real_distribution<double> fraction(0, 1);
  std::vector<target_record> listing;
  std::vector<simulated_target> targets(static_cast<std::size_t>(load.targets));
  double capacity = 0;
  for (std::size_t i = 0; i < targets.size(); ++i) {
    target_record record;
    record.id = IdOf(i);
    record.service = "service";
    record.slots = load.slots;
    listing.push_back(record);
    if (load.slow_every > 0 &&
        i % static_cast<std::size_t>(load.slow_every) == 0) {
      targets[i].slowness = kSlowness;
    }
    const double mean_pace = 1 + load.disturbed * (kDisturbedPace - 1);
    capacity += load.slots / (load.request_s * targets[i].slowness * mean_pace);
  }
  std::vector<target_table> tables(static_cast<std::size_t>(load.gateways));
  for (target_table& table : tables) {
    table.Update(listing, At(0));
  }
  const auto lag = static_cast<std::size_t>(ToSeconds(load.report_lag) / kTick);
  std::poisson_distribution<int> arrivals(load.utilization * capacity * kTick);
  simulated_outcome outcome;
  outcome.requests.resize(targets.size());
  std::vector<double> times;
  std::uint64_t request = 0;
  double disturbed_at = 0;
  for (double now = 0; now < load.seconds; now += kTick) {
    if (now >= disturbed_at) {
      disturbed_at += kDisturbanceInterval;
      for (simulated_target& target : targets) {
        target.pace = fraction(random) < load.disturbed ? kDisturbedPace : 1;
      }
    }
    const bool counts = now > load.seconds / 5;
    for (std::size_t i = 0; i < targets.size(); ++i) {
      simulated_target& target = targets[i];
      const std::size_t running = std::min<std::size_t>(
          target.held.size(), static_cast<std::size_t>(load.slots));
      std::vector<simulated_request> ended;
      for (std::size_t next = running; next-- > 0;) {
        simulated_request& work = target.held[next];
        work.left_s -= kTick / (target.slowness * target.pace);
        if (work.left_s <= 0) {
          ended.push_back(work);
          target.held.erase(target.held.begin() +
                            static_cast<std::ptrdiff_t>(next));
        }
      }
      const int held = static_cast<int>(target.held.size());
      reported_load state;
      state.running = std::min(held, load.slots);
      state.waiting = held - state.running;
      if (reports_pace) {
        state.pace = target.pace;
      }
      target.reports.push_back(state);
      if (target.reports.size() > lag + 1) {
        target.reports.pop_front();
      }
      for (const simulated_request& work : ended) {
        target_table& table = tables[work.gateway];
        reported_load report = target.reports.front();
        report.at = At(now);
        table.ReportLoad(IdOf(i), report);
        table.ReportWork(IdOf(i), {FromSeconds(now - work.sent_at)}, At(now));
        table.RequestEnded(IdOf(i));
        if (counts) {
          times.push_back(now - work.sent_at);
        }
      }
    }
    for (int left = arrivals(random); left > 0; --left) {
      const std::size_t gateway = random() % tables.size();
      const double size = load.request_s * (0.5 + fraction(random));
      const std::size_t target =
          choose(gateway, tables[gateway], ++request, At(now));
      tables[gateway].RequestStarted(IdOf(target));
      targets[target].held.push_back({gateway, now, size});
      outcome.requests[target] += counts ? 1 : 0;
    }
  }
  // Requests that have not ended count with the time so far.
  for (const simulated_target& target : targets) {
    for (const simulated_request& work : target.held) {
      times.push_back(load.seconds - work.sent_at);
    }
  }
  std::sort(times.begin(), times.end());
  outcome.mean_s = std::accumulate(times.begin(), times.end(), 0.0) /
                   static_cast<double>(times.size());
  outcome.p99_s = times[times.size() * 99 / 100];
  return outcome;
}

simulated_choice RoundRobin(const simulated_load& load) {
  // Gateways begin at different targets.
  std::vector<std::size_t> next(static_cast<std::size_t>(load.gateways));
  std::iota(next.begin(), next.end(), 0);
  const auto count = static_cast<std::size_t>(load.targets);
  return [next, count](std::size_t gateway, const target_table&, std::uint64_t,
                       steady_time) mutable { return next[gateway]++ % count; };
}

simulated_choice LeastReported(const simulated_load& load) {
  const auto count = static_cast<std::size_t>(load.targets);
  return [count](std::size_t gateway, const target_table& targets,
                 std::uint64_t request, steady_time) {
    std::size_t best = 0;
    int least = -1;
    // Each decision begins elsewhere, so that ties don't all fall on one.
    const std::size_t first = (gateway + request) % count;
    for (std::size_t i = 0; i < count; ++i) {
      const std::size_t candidate = (first + i) % count;
      const known_target& target = *targets.Find(IdOf(candidate));
      const int reported =
          target.load ? target.load->running + target.load->waiting : 0;
      const int held = std::max(reported, target.open_requests);
      if (least < 0 || held < least) {
        best = candidate;
        least = held;
      }
    }
    return best;
  };
}

simulated_choice Selected() {
  return [](std::size_t, const target_table& targets, std::uint64_t request,
            steady_time now) {
    target_requirements demand;
    demand.service = "service";
    demand.draw = StableHash(std::to_string(request));
    return IndexOf(*SelectTarget(targets, demand, now));
  };
}

}  // namespace gentian
