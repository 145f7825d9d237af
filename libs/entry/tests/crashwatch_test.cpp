#include "entry/crashwatch.h"

#include <boost/test/unit_test.hpp>

#include <fcntl.h>
#include <unistd.h>

using namespace sassafrasvane;
using namespace std::chrono_literals;

namespace
{

http::Request requestFor(const char *target, const char *body = "")
{
    http::Request request(boost::beast::http::verb::get, target, 11);
    request.set("Host", "search.example");
    request.body() = body;
    return request;
}

/// Two entry VMs whose evidence reaches the other one at once.
struct World {
    TimePoint now{1'000s};
    int sink = open("/dev/null", O_WRONLY);
    EventLog log{sink, "vm"};
    CrashWatch first{1, log};
    CrashWatch second{2, log};
    Fingerprint request = fingerprintOf(requestFor("/board/x"));

    World()
    {
        first.setSpread([this](std::span<const CrashEntry> entries) { second.merge(now, entries); });
    }

    ~World() { close(sink); }
};

} // namespace

BOOST_AUTO_TEST_SUITE(crash_watch)

BOOST_AUTO_TEST_CASE(fingerprintCoversWhatASearcherIsSent)
{
    const Fingerprint fingerprint = fingerprintOf(requestFor("/a", "b"));
    BOOST_TEST((fingerprint == fingerprintOf(requestFor("/a", "b"))));
    BOOST_TEST((fingerprint != fingerprintOf(requestFor("/b", "b"))));
    BOOST_TEST((fingerprint != fingerprintOf(requestFor("/a", "c"))));
    http::Request withId = requestFor("/a", "b");
    withId.set("Request-Id", "1");
    BOOST_TEST((fingerprint == fingerprintOf(withId)));
}

BOOST_AUTO_TEST_CASE(requestThatCrashedTwoSearchersIsBarredEverywhereForATime)
{
    World world;
    world.first.onRequestLost(world.now, world.request, 2, "id");
    BOOST_TEST(world.first.isBarred(world.now, world.request));
    BOOST_TEST(world.second.isBarred(world.now, world.request));
    BOOST_TEST(!world.second.isBarred(world.now + CrashBar::entryLifetime(), world.request));
    world.second.onTick(world.now + CrashBar::entryLifetime());
    BOOST_TEST(world.second.suspects() == 0U);
}

BOOST_AUTO_TEST_CASE(answerClearsARequestEverywhere)
{
    World world;
    world.first.onRequestLost(world.now, world.request, 1, "id");
    world.first.onAnswered(world.now, world.request);
    world.second.onRequestLost(world.now, world.request, 1, "id");
    BOOST_TEST(!world.first.isBarred(world.now, world.request));
    BOOST_TEST(!world.second.isBarred(world.now, world.request));
}

BOOST_AUTO_TEST_CASE(newcomerIsToldAllEvidence)
{
    World world;
    world.first.onRequestLost(world.now, world.request, 2, "id");
    CrashWatch newcomer(3, world.log);
    newcomer.merge(world.now, world.first.entries(world.now));
    BOOST_TEST(newcomer.isBarred(world.now, world.request));
}

BOOST_AUTO_TEST_SUITE_END()
