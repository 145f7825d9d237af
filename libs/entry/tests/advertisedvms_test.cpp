#include "entry/advertisedvms.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <string>

using namespace sassafrasvane;

namespace
{

constexpr std::uint16_t largeRank = 50;
constexpr std::uint16_t smallRank = 12;
constexpr std::size_t domainCount = 6;

/// A fleet of 295 VMs in six failure domains, three large ones in each.
std::vector<SubsetCandidate> largeFleet()
{
    std::vector<SubsetCandidate> fleet;
    for (std::size_t vm = 0; vm < 295; ++vm) {
        const bool isLarge = vm < 3 * domainCount;
        fleet.push_back(
            {DaemonId{vm + 1}, "domain-" + std::to_string(vm % domainCount), isLarge ? largeRank : smallRank});
    }
    return fleet;
}

std::vector<SubsetCandidate> chosen(const std::vector<SubsetCandidate> &fleet,
                                    const std::set<std::string> &preferredDomains = {})
{
    const std::vector<DaemonId> advertised = advertisedVms(fleet, preferredDomains);
    std::vector<SubsetCandidate> chosen;
    std::copy_if(
        fleet.begin(), fleet.end(), std::back_inserter(chosen), [&advertised](const SubsetCandidate &candidate) {
            return std::find(advertised.begin(), advertised.end(), candidate.daemon) != advertised.end();
        });
    return chosen;
}

std::map<std::string, std::size_t> countsByDomain(const std::vector<SubsetCandidate> &vms)
{
    std::map<std::string, std::size_t> counts;
    for (const SubsetCandidate &vm : vms) {
        ++counts[vm.failureDomain];
    }
    return counts;
}

} // namespace

BOOST_AUTO_TEST_SUITE(advertisedvms)

BOOST_AUTO_TEST_CASE(fewLargeVmsOfEachDomainAreAdvertised)
{
    const std::vector<SubsetCandidate> advertised = chosen(largeFleet());
    BOOST_TEST(advertised.size() == 12U);
    for (const SubsetCandidate &vm : advertised) {
        BOOST_TEST(vm.rank == largeRank);
    }
    for (const auto &[domain, count] : countsByDomain(advertised)) {
        BOOST_TEST(count == 2U, domain);
    }
}

BOOST_AUTO_TEST_CASE(lossOfADomainLeavesTheOthersAdvertised)
{
    std::vector<SubsetCandidate> fleet = largeFleet();
    const std::vector<SubsetCandidate> before = chosen(fleet);
    std::erase_if(fleet, [](const SubsetCandidate &vm) { return vm.failureDomain == "domain-0"; });
    const std::vector<SubsetCandidate> after = chosen(fleet);
    BOOST_TEST(after.size() == 12U);
    const std::ptrdiff_t kept = std::count_if(before.begin(), before.end(), [&after](const SubsetCandidate &vm) {
        return std::any_of(
            after.begin(), after.end(), [&vm](const SubsetCandidate &other) { return other.daemon == vm.daemon; });
    });
    BOOST_TEST(kept == 10);
}

BOOST_AUTO_TEST_CASE(othersAreAdvertisedWhenAllAdvertisedOnesAreLost)
{
    std::vector<SubsetCandidate> fleet = largeFleet();
    const std::vector<DaemonId> lost = advertisedVms(fleet);
    std::erase_if(fleet, [&lost](const SubsetCandidate &vm) {
        return std::find(lost.begin(), lost.end(), vm.daemon) != lost.end();
    });
    const std::vector<SubsetCandidate> after = chosen(fleet);
    BOOST_TEST(after.size() == 12U);
    BOOST_TEST(countsByDomain(after).size() == domainCount);
}

BOOST_AUTO_TEST_CASE(eachOfManyDomainsHasTwo)
{
    std::vector<SubsetCandidate> fleet;
    for (std::size_t vm = 0; vm < 100; ++vm) {
        fleet.push_back({DaemonId{vm + 1}, "domain-" + std::to_string(vm % 10), smallRank});
    }
    for (const auto &[domain, count] : countsByDomain(chosen(fleet))) {
        BOOST_TEST(count == 2U, domain);
    }
}

// Load: the searchers of queries stand in one of three domains. Guards against calls that all cross domains, and
// against callers that find no VM nearby.
BOOST_AUTO_TEST_CASE(vmsNearTheSearchersArePreferred)
{
    std::vector<SubsetCandidate> fleet;
    for (std::size_t vm = 0; vm < 60; ++vm) {
        fleet.push_back({DaemonId{vm + 1}, "domain-" + std::to_string(vm % 3), smallRank});
    }
    std::map<std::string, std::size_t> counts = countsByDomain(chosen(fleet, {"domain-1"}));
    BOOST_TEST(counts["domain-0"] == 2U);
    BOOST_TEST(counts["domain-1"] == 8U);
    BOOST_TEST(counts["domain-2"] == 2U);
    // Too few VMs near the searchers: the number of advertised VMs stays.
    std::erase_if(fleet,
                  [](const SubsetCandidate &vm) { return vm.failureDomain == "domain-1" && vm.daemon.value > 9; });
    BOOST_TEST(chosen(fleet, {"domain-1"}).size() == 12U);
    // Searchers in every domain: as without a preference.
    const std::set<std::string> all{"domain-0", "domain-1", "domain-2"};
    BOOST_TEST((countsByDomain(chosen(fleet, all)) == countsByDomain(chosen(fleet))));
}

// Guards against a single searcher that moves the callers to its domain.
BOOST_AUTO_TEST_CASE(domainsWithHalfOfTheQueriedBackendsCount)
{
    RoutingConfiguration configuration;
    RequestRoute route;
    route.shards = {"s0", "s1", "s2"};
    configuration.routes = {route};
    SearcherPool pool("vm", "a", PoolBounds(), 1);
    const std::vector<std::pair<std::string, std::string>> searchers{
        {"s0", "a"}, {"s1", "a"}, {"s0", "b"}, {"other", "c"}};
    for (const auto &[backend, domain] : searchers) {
        SearcherEntry entry;
        entry.instance = backend + domain;
        entry.backend = backend;
        entry.failureDomain = domain;
        pool.put(TimePoint(), entry);
    }
    BOOST_TEST((queryDomains(*RouteTable::create(configuration), pool) == std::set<std::string>{"a"}));
}

BOOST_AUTO_TEST_CASE(smallFleetIsAdvertisedWhole)
{
    std::vector<SubsetCandidate> fleet = largeFleet();
    fleet.resize(9);
    BOOST_TEST(advertisedVms(fleet).size() == 9U);
    BOOST_TEST(advertisedVms({}).empty());
}

BOOST_AUTO_TEST_SUITE_END()
