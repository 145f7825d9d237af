#include "entry/advertisedvms.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace sassafrasvane
{

namespace
{

/// Minimum number of advertised VMs, in total and in each failure domain.
constexpr std::size_t minAdvertised = 12;
constexpr std::size_t minPerDomain = 2;
/// Makes this selection independent of the selection of the VMs that read the store.
constexpr std::uint64_t advertisedSalt = 1;

} // namespace

std::vector<DaemonId> advertisedVms(std::span<const SubsetCandidate> candidates)
{
    std::set<std::string_view> domains;
    for (const SubsetCandidate &candidate : candidates) {
        domains.insert(candidate.failureDomain);
    }
    return spreadSubset(candidates, advertisedSalt, std::max(minAdvertised, minPerDomain * domains.size()));
}

} // namespace sassafrasvane
