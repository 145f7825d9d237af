#include "placement/limitshare.h"

#include <boost/test/unit_test.hpp>

using namespace sassafrasvane;
using namespace std::chrono_literals;

namespace
{

Fleet fleetOf(std::size_t sharers, std::size_t members)
{
    Fleet fleet;
    for (std::size_t vm = 0; vm < sharers; ++vm) {
        fleet.sharers.insert("vm-" + std::to_string(vm));
    }
    fleet.advertisedCount = sharers;
    fleet.memberCount = members;
    return fleet;
}

double callsPerSecond(const LimitShare &share)
{
    return 1 / std::chrono::duration<double>(share.interval).count();
}

} // namespace

BOOST_AUTO_TEST_SUITE(limitshare)

BOOST_AUTO_TEST_CASE(sharesOfAllVmsAddUpToTheLimit)
{
    for (const std::size_t sharers : {8U, 12U, 80U, 300U}) {
        for (const double limit : {0.2, 1.0, 4.5, 18.0, 400.0}) {
            const Fleet fleet = fleetOf(sharers, 300);
            double senders = 0;
            double all = 0;
            for (const std::string &vm : fleet.sharers) {
                const LimitShare share = limitShare(limit, "s1", vm, fleet);
                senders += share.isSender ? 1 : 0;
                all += callsPerSecond(share);
            }
            const std::size_t others = fleet.memberCount - sharers;
            all += static_cast<double>(others) * callsPerSecond(limitShare(limit, "s1", "vm-other", fleet));
            BOOST_TEST(all <= limit + 0.1, sharers << " VMs, " << limit << " a second: " << all);
            BOOST_TEST(all >= 0.85 * limit);
            BOOST_TEST(senders >= 1);
            BOOST_TEST(senders <= std::max(1.0, limit));
        }
    }
}

BOOST_AUTO_TEST_CASE(vmThatSeesNoOtherVmDoesNotTakeTheWholeLimit)
{
    BOOST_TEST(callsPerSecond(limitShare(80, "s1", "vm-0", fleetOf(1, 1))) <= 10);
}

BOOST_AUTO_TEST_CASE(searchersOfOneBackendHaveOtherSenders)
{
    const Fleet fleet = fleetOf(12, 12);
    std::set<std::string> senders;
    for (int searcher = 0; searcher < 30; ++searcher) {
        for (const std::string &vm : fleet.sharers) {
            if (limitShare(1, "s" + std::to_string(searcher), vm, fleet).isSender) {
                senders.insert(vm);
            }
        }
    }
    BOOST_TEST(senders.size() >= 8U);
}

BOOST_AUTO_TEST_SUITE_END()
