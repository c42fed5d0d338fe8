#include "gentian_decisions/neighbours.h"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <map>

namespace gentian {

namespace {

constexpr std::size_t kLinks = 6;
constexpr std::size_t kLinksToOtherDomains = 3;

// The next and the previous host on a ring ordered by hash.
std::set<host_id> RingNeighbours(const host_id& self,
                                 const std::vector<member>& others) {
  std::map<std::uint64_t, host_id> ring;
  ring[StableHash(self.text())] = self;
  for (const member& other : others) {
    ring[StableHash(other.id.host.text())] = other.id.host;
  }
  const auto own = ring.find(StableHash(self.text()));
  const auto next =
      std::next(own) == ring.end() ? ring.begin() : std::next(own);
  const auto previous = std::prev(own == ring.begin() ? ring.end() : own);
  std::set<host_id> chosen{next->second, previous->second};
  chosen.erase(self);
  return chosen;
}

}  // namespace

std::set<host_id> ChooseNeighbours(const host_id& self,
                                   const failure_domain_id& domain,
                                   const std::vector<member>& others) {
  std::map<host_id, failure_domain_id> domains;
  std::vector<host_id> hosts;
  for (const member& other : others) {
    domains[other.id.host] = other.failure_domain;
    hosts.push_back(other.id.host);
  }
  if (others.size() < kFullyLinkedFleet) {
    return {hosts.begin(), hosts.end()};
  }
  std::set<host_id> chosen = RingNeighbours(self, others);
  std::size_t remote = 0;
  for (const host_id& host : chosen) {
    remote += domains[host] != domain ? 1 : 0;
  }
  const std::vector<host_id> order =
      RendezvousOrder("links:" + self.text(), std::move(hosts));
  // First the links to other failure domains, then the rest by rank.
  for (const host_id& host : order) {
    const bool needed = remote < kLinksToOtherDomains;
    if (needed && chosen.size() < kLinks && domains[host] != domain &&
        chosen.insert(host).second) {
      ++remote;
    }
  }
  for (const host_id& host : order) {
    if (chosen.size() < kLinks) {
      chosen.insert(host);
    }
  }
  return chosen;
}

}  // namespace gentian
