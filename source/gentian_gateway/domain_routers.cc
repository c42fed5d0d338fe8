#include "gentian_gateway/domain_routers.h"

#include <algorithm>
#include <cmath>

#include "gentian_gateway/domain_loads.h"

namespace gentian {

namespace {

// An update reads all targets of a service.
constexpr milliseconds kUpdateInterval{200};
constexpr milliseconds kReportInterval{10'000};
// Changes by less are not reported.
constexpr double kReportedChange = 0.05;
constexpr double kTimeSmoothing = 0.05;
// Other gateways name the domains of their turns; no fleet has that many.
constexpr std::size_t kMaxEntries = 1'000;

}  // namespace

std::optional<domain_charges> domain_routers::ChargesFor(
    const std::string& service,
    const std::string& domain,
    const target_table& targets,
    const std::map<std::string, member_record>& members,
    steady_time now) {
  if (options_.mode == own_domain_mode::off || domain.empty()) {
    return std::nullopt;
  }
  if (entries_.size() >= kMaxEntries &&
      entries_.count({service, domain}) == 0) {
    return std::nullopt;
  }
  const auto [place, is_new] = entries_.try_emplace(
      {service, domain}, entry{domain_router(domain, options_.price, seed_),
                               now, false, 0, std::nullopt});
  entry& found = place->second;
  if (is_new || now - found.updated_at >= kUpdateInterval) {
    Update(found, service, domain, targets, members, now);
  }
  return found.is_active ? std::make_optional(found.router.NextCharges())
                         : std::nullopt;
}

void domain_routers::Update(entry& to_update,
                            const std::string& service,
                            const std::string& domain,
                            const target_table& targets,
                            const std::map<std::string, member_record>& members,
                            steady_time now) {
  to_update.updated_at = now;
  to_update.is_active =
      options_.mode == own_domain_mode::on || ReportsPace(targets, service);
  if (!to_update.is_active) {
    return;
  }
  std::map<std::string, domain_load> loads =
      LoadsByDomain(targets, service, PlainWeights(now), now);
  for (auto& [name, load] : loads) {
    const std::string& own = name;
    load.gateways = static_cast<std::size_t>(std::count_if(
        members.begin(), members.end(), [&own](const auto& member) {
          return member.second.failure_domain != own;
        }));
  }
  const auto time = request_times_.find(service);
  // A gateway that doesn't know the others can't tell its part of the spare
  // capacity.
  const bool knows = time != request_times_.end() && !members.empty();
  to_update.router.Update(loads, knows ? time->second : duration(0), now);
  const double share = to_update.router.LeavingShare();
  if (std::abs(share - to_update.reported_share) >= kReportedChange &&
      (!to_update.reported_at ||
       now - *to_update.reported_at >= kReportInterval)) {
    changes_.push_back({service, domain, to_update.reported_share, share,
                        to_update.router.reason()});
    to_update.reported_share = share;
    to_update.reported_at = now;
  }
}

void domain_routers::AddSample(const std::string& service,
                               duration request_time) {
  const auto [place, is_new] =
      request_times_.try_emplace(service, request_time);
  if (!is_new) {
    place->second +=
        FromSeconds(kTimeSmoothing * ToSeconds(request_time - place->second));
  }
}

}  // namespace gentian
