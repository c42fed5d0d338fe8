#include "gentian_gateway/domain_loads.h"

#include <algorithm>
#include <cmath>

namespace gentian {

namespace {

// Reports that are older say nothing about the load of a domain.
constexpr milliseconds kMaxReportAge{5'000};
// The pace of machines changes about every 0.6 s.
constexpr milliseconds kPaceDecay{600};

// Sums over the targets of a domain that have a recent report.
struct reported_sum {
  double capacity = 0;
  double load = 0;
  /** Age in seconds, weighted by capacity. */
  double age = 0;
};

}  // namespace

target_weights PlainWeights(steady_time now) {
  return {[now](const known_target& target) {
            return now >= target.avoid_until && !target.HasNoRoom(now);
          },
          [](const known_target& /*target*/) { return 1.0; }};
}

double PaceOf(const known_target& target, steady_time now) {
  if (!target.load || !target.load->pace) {
    return 1;
  }
  const double age = std::max(0.0, ToSeconds(now - target.load->at));
  return 1 + (*target.load->pace - 1) * std::exp(-age / ToSeconds(kPaceDecay));
}

bool ReportsPace(const target_table& targets, const std::string& service) {
  const std::vector<const known_target*> serving = targets.Serving(service);
  return std::any_of(serving.begin(), serving.end(),
                     [](const known_target* target) {
                       return target->load && target->load->pace;
                     });
}

std::map<std::string, domain_load> LoadsByDomain(const target_table& targets,
                                                 const std::string& service,
                                                 const target_weights& weights,
                                                 steady_time now) {
  std::map<std::string, domain_load> loads;
  std::map<std::string, reported_sum> reported;
  for (const known_target* target : targets.Serving(service)) {
    if (!weights.is_usable(*target)) {
      continue;
    }
    domain_load& domain = loads[target->record.failure_domain];
    const double capacity = std::max(1, target->record.slots) *
                            weights.speed(*target) / PaceOf(*target, now);
    domain.capacity += capacity;
    if (target->load && now - target->load->at < kMaxReportAge) {
      reported_sum& sum = reported[target->record.failure_domain];
      sum.capacity += capacity;
      sum.load += std::max(target->load->running + target->load->waiting,
                           target->open_requests);
      sum.age += capacity * ToSeconds(now - target->load->at);
    }
  }
  for (const auto& [domain, sum] : reported) {
    domain_load& all = loads.at(domain);
    if (sum.capacity > 0) {
      all.load = sum.load * all.capacity / sum.capacity;
      all.age = FromSeconds(sum.age / sum.capacity);
    }
  }
  return loads;
}

}  // namespace gentian
