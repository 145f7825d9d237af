#include "fleet/subset.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>

using namespace sassafrasvane;

namespace
{

std::vector<SubsetCandidate> fleet(std::size_t size)
{
    std::vector<SubsetCandidate> fleet;
    for (std::size_t i = 0; i < size; ++i) {
        fleet.push_back({DaemonId{1'000 + i}, "domain-" + std::to_string(i % 4)});
    }
    return fleet;
}

} // namespace

BOOST_AUTO_TEST_CASE(subsetIsSpreadOverTheFailureDomains)
{
    const std::vector<SubsetCandidate> candidates = fleet(80);
    std::map<std::string, int> counts;
    for (const DaemonId daemon : spreadSubset(candidates, 1, 8)) {
        ++counts[candidates[daemon.value - 1'000].failureDomain];
    }
    BOOST_TEST(counts.size() == 4U);
    for (const auto &[domain, count] : counts) {
        BOOST_TEST(count == 2, domain);
    }
}

BOOST_AUTO_TEST_CASE(orderOfTheCandidatesDoesNotMatter)
{
    std::vector<SubsetCandidate> candidates = fleet(40);
    const std::vector<DaemonId> chosen = spreadSubset(candidates, 1, 6);
    std::reverse(candidates.begin(), candidates.end());
    BOOST_TEST((spreadSubset(candidates, 1, 6) == chosen));
    BOOST_TEST((spreadSubset(candidates, 2, 6) != chosen));
}

BOOST_AUTO_TEST_CASE(lostDaemonChangesTheChoiceByOne)
{
    const std::vector<SubsetCandidate> candidates = fleet(40);
    const std::vector<DaemonId> before = spreadSubset(candidates, 1, 8);
    for (std::size_t lost = 0; lost < candidates.size(); ++lost) {
        std::vector<SubsetCandidate> rest = candidates;
        rest.erase(rest.begin() + static_cast<std::ptrdiff_t>(lost));
        const std::vector<DaemonId> after = spreadSubset(rest, 1, 8);
        const std::ptrdiff_t kept = std::count_if(before.begin(), before.end(), [&after](DaemonId daemon) {
            return std::find(after.begin(), after.end(), daemon) != after.end();
        });
        BOOST_TEST(kept >= 7);
    }
}

BOOST_AUTO_TEST_CASE(higherRanksComeFirst)
{
    std::vector<SubsetCandidate> candidates = fleet(40);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        candidates[i].rank = i < 8 ? 50 : 12;
    }
    for (const DaemonId daemon : spreadSubset(candidates, 1, 8)) {
        BOOST_TEST(daemon.value < 1'008U);
    }
}

BOOST_AUTO_TEST_CASE(smallFleetIsChosenWhole)
{
    BOOST_TEST(spreadSubset(fleet(3), 1, 8).size() == 3U);
    BOOST_TEST(spreadSubset({}, 1, 8).empty());
}
