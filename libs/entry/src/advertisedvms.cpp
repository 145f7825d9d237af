#include "entry/advertisedvms.h"

#include <algorithm>
#include <iterator>
#include <map>
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

std::vector<DaemonId> advertisedVms(std::span<const SubsetCandidate> candidates,
                                    const std::set<std::string> &preferredDomains)
{
    std::set<std::string_view> domains;
    for (const SubsetCandidate &candidate : candidates) {
        domains.insert(candidate.failureDomain);
    }
    const std::size_t total = std::max(minAdvertised, minPerDomain * domains.size());
    if (preferredDomains.empty()) {
        return spreadSubset(candidates, advertisedSalt, total);
    }
    std::vector<DaemonId> chosen = spreadSubset(candidates, advertisedSalt, minPerDomain * domains.size());
    const auto addWhere = [&](const auto &isAllowed) {
        std::vector<SubsetCandidate> others;
        std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(others), [&](const auto &candidate) {
            return isAllowed(candidate) && std::find(chosen.begin(), chosen.end(), candidate.daemon) == chosen.end();
        });
        const std::vector<DaemonId> added = spreadSubset(others, advertisedSalt, total - chosen.size());
        chosen.insert(chosen.end(), added.begin(), added.end());
    };
    addWhere([&preferredDomains](const SubsetCandidate &candidate) {
        return preferredDomains.contains(candidate.failureDomain);
    });
    addWhere([](const SubsetCandidate &) { return true; });
    return chosen;
}

std::set<std::string> queryDomains(const RouteTable &routes, const SearcherPool &pool)
{
    std::set<std::string_view> backends;
    for (const RequestRoute &route : routes.configuration().routes) {
        if (route.isGathered()) {
            backends.insert(route.shards.begin(), route.shards.end());
        }
    }
    std::map<std::string, std::size_t> backendsByDomain;
    for (const std::string_view backend : backends) {
        for (const std::string &domain : pool.domainsOf(backend)) {
            ++backendsByDomain[domain];
        }
    }
    std::set<std::string> domains;
    for (const auto &[domain, count] : backendsByDomain) {
        if (2 * count >= backends.size()) {
            domains.insert(domain);
        }
    }
    return domains;
}

} // namespace sassafrasvane
