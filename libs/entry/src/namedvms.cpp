#include "entry/namedvms.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace sassafrasvane
{

namespace
{

constexpr std::size_t leastNamed = 12;
constexpr std::size_t leastPerDomain = 2;
/// Tells this choice from that of the readers of the store.
constexpr std::uint64_t namedSalt = 1;

} // namespace

std::vector<DaemonId> namedVms(std::span<const SubsetCandidate> candidates)
{
    std::set<std::string_view> domains;
    for (const SubsetCandidate &candidate : candidates) {
        domains.insert(candidate.failureDomain);
    }
    return spreadSubset(candidates, namedSalt, std::max(leastNamed, leastPerDomain * domains.size()));
}

} // namespace sassafrasvane
