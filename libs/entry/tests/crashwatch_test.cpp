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

/// Two entry VMs. The evidence of the first one reaches the second one at once.
struct Fixture {
    TimePoint now{1'000s};
    int sink = open("/dev/null", O_WRONLY);
    EventLog log{sink, "vm"};
    CrashWatch first{1, log};
    CrashWatch second{2, log};
    Fingerprint request = fingerprintOf(requestFor("/board/x"));

    Fixture()
    {
        first.setBroadcastEvidence([this](std::span<const CrashEntry> entries) { second.merge(now, entries); });
    }

    ~Fixture() { close(sink); }
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
    Fixture fixture;
    fixture.first.onRequestLost(fixture.now, fixture.request, 2, fixture.now, "id");
    BOOST_TEST(fixture.first.isBarred(fixture.now, fixture.request));
    BOOST_TEST(fixture.second.isBarred(fixture.now, fixture.request));
    BOOST_TEST(!fixture.second.isBarred(fixture.now + CrashBar::entryLifetime(), fixture.request));
    fixture.second.onTick(fixture.now + CrashBar::entryLifetime());
    BOOST_TEST(fixture.second.suspectCount() == 0U);
}

BOOST_AUTO_TEST_CASE(answerClearsARequestEverywhere)
{
    Fixture fixture;
    fixture.first.onRequestLost(fixture.now, fixture.request, 1, fixture.now, "id");
    fixture.first.onAnswered(fixture.now, fixture.request);
    fixture.second.onRequestLost(fixture.now, fixture.request, 1, fixture.now, "id");
    BOOST_TEST(!fixture.first.isBarred(fixture.now, fixture.request));
    BOOST_TEST(!fixture.second.isBarred(fixture.now, fixture.request));
}

// Guards against a request that every VM has seen answered before and that goes on crashing its searchers.
BOOST_AUTO_TEST_CASE(requestThatWasAnsweredBeforeIsBarredEverywhereWhenItCrashesSearchersAgain)
{
    Fixture fixture;
    fixture.first.onAnswered(fixture.now, fixture.request);
    fixture.second.onAnswered(fixture.now, fixture.request);
    fixture.first.onRequestLost(fixture.now, fixture.request, 2, fixture.now, "id");
    fixture.second.onRequestLost(fixture.now, fixture.request, 2, fixture.now, "id");
    BOOST_TEST(!fixture.second.isBarred(fixture.now, fixture.request));
    fixture.now += CrashBar::suspectPause();
    fixture.second.onRequestLost(fixture.now, fixture.request, 2, fixture.now, "id");
    BOOST_TEST(fixture.second.isBarred(fixture.now, fixture.request));
}

BOOST_AUTO_TEST_CASE(joiningProcessReceivesAllEvidence)
{
    Fixture fixture;
    fixture.first.onRequestLost(fixture.now, fixture.request, 2, fixture.now, "id");
    CrashWatch joiningProcess(3, fixture.log);
    joiningProcess.merge(fixture.now, fixture.first.entries(fixture.now));
    BOOST_TEST(joiningProcess.isBarred(fixture.now, fixture.request));
}

BOOST_AUTO_TEST_SUITE_END()
