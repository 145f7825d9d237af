#include "entry/searcherlinks.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

using namespace sassafrasvane;
using namespace std::chrono_literals;

namespace
{

/// Links to one searcher; nothing is connected.
struct World {
    boost::asio::io_context context;
    http::ResponseMemory memory{1'048'576};
    SearcherLinks links{context, memory};
    TimePoint now{1'000s};
    TrackedSearcher searcher{now, SearcherEntry()};

    std::vector<SearcherLinks::Lease> acquire(std::size_t count)
    {
        std::vector<SearcherLinks::Lease> leases;
        for (std::size_t lease = 0; lease < count; ++lease) {
            leases.push_back(links.acquire(now, searcher, count, 1h));
        }
        return leases;
    }

    void release(const std::vector<SearcherLinks::Lease> &leases)
    {
        for (const SearcherLinks::Lease &lease : leases) {
            links.release(now, searcher, lease.connection, std::nullopt);
        }
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(connectionsAreBounded)
{
    World world;
    const std::vector<SearcherLinks::Lease> leases = world.acquire(3);
    BOOST_TEST((leases.back().connection != nullptr));
    BOOST_TEST((world.links.acquire(world.now, world.searcher, 3, 1h).connection == nullptr));
    world.links.discard(world.searcher);
    BOOST_TEST((world.links.acquire(world.now, world.searcher, 3, 1h).connection != nullptr));
}

BOOST_AUTO_TEST_CASE(oneIdleConnectionIsKeptAndSpareOnesAreClosedSoon)
{
    World world;
    world.release(world.acquire(3));
    world.links.closeStale(world.now + 1s);
    BOOST_TEST(world.links.openConnections() == 3U);
    world.links.closeStale(world.now + 1'500ms);
    BOOST_TEST(world.links.openConnections() == 1U);
    world.links.closeStale(world.now + 5s);
    BOOST_TEST(world.links.openConnections() == 1U);
    world.links.closeStale(world.now + 8s);
    BOOST_TEST(world.links.openConnections() == 0U);
}

BOOST_AUTO_TEST_CASE(idleConnectionsCloseBeforeTheSearcherClosesThem)
{
    World world;
    const std::vector<SearcherLinks::Lease> leases = world.acquire(1);
    world.links.release(world.now, world.searcher, leases.front().connection, Duration(2s));
    world.links.closeStale(world.now + 1'200ms);
    BOOST_TEST(world.links.openConnections() == 1U);
    world.links.closeStale(world.now + 1'300ms);
    BOOST_TEST(world.links.openConnections() == 0U);
}
