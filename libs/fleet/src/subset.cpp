#include "fleet/subset.h"

#include "base/random.h"

#include <algorithm>
#include <map>
#include <utility>

namespace sassafrasvane
{

std::vector<DaemonId> spreadSubset(std::span<const SubsetCandidate> candidates, std::uint64_t salt, std::size_t count)
{
    // Ordered by hash, so that all daemons get the same order.
    using Order = std::pair<int, std::uint64_t>;
    std::map<std::uint64_t, std::map<Order, DaemonId>> domains;
    for (const SubsetCandidate &candidate : candidates) {
        const std::uint64_t domain = mix(salt, hashBytes(candidate.failureDomain));
        domains[domain].emplace(Order{-candidate.rank, mix(salt, candidate.daemon.value)}, candidate.daemon);
    }
    std::vector<DaemonId> chosen;
    const std::size_t wanted = std::min(count, candidates.size());
    while (chosen.size() < wanted && !domains.empty()) {
        for (auto domain = domains.begin(); domain != domains.end() && chosen.size() < wanted;) {
            chosen.push_back(domain->second.begin()->second);
            domain->second.erase(domain->second.begin());
            domain = domain->second.empty() ? domains.erase(domain) : std::next(domain);
        }
    }
    return chosen;
}

} // namespace sassafrasvane
