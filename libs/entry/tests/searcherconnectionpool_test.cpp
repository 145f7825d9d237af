#include "entry/searcherconnectionpool.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

using namespace sassafrasvane;
using namespace std::chrono_literals;

namespace
{

/// A pool with connections to one searcher; none is actually opened.
struct Fixture {
    boost::asio::io_context context;
    http::ResponseMemory memory{1'048'576};
    SearcherConnectionPool connections{context, memory};
    TimePoint now{1'000s};
    TrackedSearcher searcher{now, SearcherEntry()};

    std::vector<SearcherConnectionPool::Lease> acquire(std::size_t count)
    {
        std::vector<SearcherConnectionPool::Lease> leases;
        for (std::size_t lease = 0; lease < count; ++lease) {
            leases.push_back(connections.acquire(now, searcher, count, 1h));
        }
        return leases;
    }

    void release(const std::vector<SearcherConnectionPool::Lease> &leases)
    {
        for (const SearcherConnectionPool::Lease &lease : leases) {
            connections.release(now, searcher, lease.connection, std::nullopt);
        }
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(connectionsAreBounded)
{
    Fixture fixture;
    const std::vector<SearcherConnectionPool::Lease> leases = fixture.acquire(3);
    BOOST_TEST((leases.back().connection != nullptr));
    BOOST_TEST((fixture.connections.acquire(fixture.now, fixture.searcher, 3, 1h).connection == nullptr));
    fixture.connections.discard(fixture.searcher);
    BOOST_TEST((fixture.connections.acquire(fixture.now, fixture.searcher, 3, 1h).connection != nullptr));
}

BOOST_AUTO_TEST_CASE(oneIdleConnectionIsKeptAndSpareOnesAreClosedSoon)
{
    Fixture fixture;
    fixture.release(fixture.acquire(3));
    fixture.connections.closeStale(fixture.now + 1s);
    BOOST_TEST(fixture.connections.openConnections() == 3U);
    fixture.connections.closeStale(fixture.now + 1'500ms);
    BOOST_TEST(fixture.connections.openConnections() == 1U);
    fixture.connections.closeStale(fixture.now + 5s);
    BOOST_TEST(fixture.connections.openConnections() == 1U);
    fixture.connections.closeStale(fixture.now + 8s);
    BOOST_TEST(fixture.connections.openConnections() == 0U);
}

BOOST_AUTO_TEST_CASE(idleConnectionsCloseBeforeTheSearcherClosesThem)
{
    Fixture fixture;
    const std::vector<SearcherConnectionPool::Lease> leases = fixture.acquire(1);
    fixture.connections.release(fixture.now, fixture.searcher, leases.front().connection, Duration(2s));
    fixture.connections.closeStale(fixture.now + 1'200ms);
    BOOST_TEST(fixture.connections.openConnections() == 1U);
    fixture.connections.closeStale(fixture.now + 1'300ms);
    BOOST_TEST(fixture.connections.openConnections() == 0U);
}
