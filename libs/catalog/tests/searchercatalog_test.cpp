#include "catalog/searchercatalog.h"

#include <boost/test/unit_test.hpp>

using namespace sassafrasvane;
using namespace std::chrono_literals;

namespace
{

SearcherEntry entry(const std::string &instance, std::uint64_t startedAtMs, std::uint64_t sequence)
{
    SearcherEntry entry;
    entry.instance = instance;
    entry.backend = "desk";
    entry.address = Address{0x0a000001, 8080};
    entry.startedAtMs = startedAtMs;
    entry.sequence = sequence;
    return entry;
}

struct CatalogFixture {
    TimePoint now{1'000s};
    SearcherCatalog catalog;
    SearcherCatalog::Notices notices;

    std::string lastChange() const { return notices.empty() ? "none" : name(notices.back().change); }
};

} // namespace

BOOST_AUTO_TEST_CASE(olderRegistrationsAreIgnored)
{
    CatalogFixture fixture;
    BOOST_TEST(fixture.catalog.put(fixture.now, entry("a", 100, 1), fixture.notices));
    BOOST_TEST(fixture.lastChange() == "added");
    SearcherEntry leaving = entry("a", 100, 5);
    leaving.isLeaving = true;
    BOOST_TEST(fixture.catalog.put(fixture.now, leaving, fixture.notices));
    BOOST_TEST(fixture.lastChange() == "updated");
    BOOST_TEST(!fixture.catalog.put(fixture.now, entry("a", 100, 4), fixture.notices));
    BOOST_TEST(fixture.catalog.find("a")->isLeaving);
    BOOST_TEST(fixture.catalog.put(fixture.now, entry("a", 200, 0), fixture.notices));
    BOOST_TEST(fixture.lastChange() == "restarted");
    BOOST_TEST(!fixture.catalog.put(fixture.now, entry("a", 100, 9), fixture.notices));
}

BOOST_AUTO_TEST_CASE(removalTakesEffectAtOnceWithoutAnOutage)
{
    CatalogFixture fixture;
    fixture.catalog.put(fixture.now, entry("a", 100, 3), fixture.notices);
    fixture.catalog.remove(fixture.now, "a", fixture.notices);
    BOOST_TEST(fixture.lastChange() == "removed");
    BOOST_TEST(fixture.catalog.size() == 0U);
    BOOST_TEST(!fixture.catalog.put(fixture.now + 1s, entry("a", 100, 2), fixture.notices));
    BOOST_TEST(fixture.catalog.put(fixture.now + 1s, entry("a", 100, 4), fixture.notices));
}

BOOST_AUTO_TEST_CASE(missingSearchersAreKeptForTheReregistrationTime)
{
    CatalogFixture fixture;
    fixture.catalog.put(fixture.now, entry("alive", 100, 3), fixture.notices);
    fixture.catalog.put(fixture.now, entry("gone", 100, 3), fixture.notices);
    fixture.catalog.onStoreReturned(fixture.now);
    fixture.notices.clear();
    fixture.catalog.keepOnly(fixture.now, {}, fixture.notices);
    BOOST_TEST(fixture.notices.empty());
    fixture.catalog.put(fixture.now + 1s, entry("alive", 100, 4), fixture.notices);
    fixture.notices.clear();
    BOOST_REQUIRE(fixture.catalog.wakeAt().has_value());
    fixture.catalog.onTimer(*fixture.catalog.wakeAt(), fixture.notices);
    BOOST_REQUIRE(fixture.notices.size() == 1U);
    BOOST_TEST(fixture.notices.front().entry.instance == "gone");
    BOOST_TEST(fixture.catalog.find("alive") != nullptr);
    BOOST_TEST(!fixture.catalog.wakeAt().has_value());
}

BOOST_AUTO_TEST_CASE(leavingSearcherIsNotKeptAfterAnOutage)
{
    CatalogFixture fixture;
    SearcherEntry leaving = entry("a", 100, 5);
    leaving.isLeaving = true;
    fixture.catalog.put(fixture.now, leaving, fixture.notices);
    fixture.catalog.onStoreReturned(fixture.now);
    fixture.catalog.remove(fixture.now, "a", fixture.notices);
    BOOST_TEST(fixture.lastChange() == "removed");
}

// Guards against a searcher that is gone and used again because the store went back to a copy that still lists it.
BOOST_AUTO_TEST_CASE(lastRegistrationDoesNotAddASearcherThatWasRemovedInAnEarlierEpoch)
{
    CatalogFixture fixture;
    fixture.catalog.put(fixture.now, entry("a", 100, 3), fixture.notices);
    fixture.catalog.remove(fixture.now, "a", fixture.notices, 1);
    BOOST_TEST(!fixture.catalog.put(fixture.now, entry("a", 100, 3), fixture.notices, 2));
    BOOST_TEST(fixture.catalog.put(fixture.now, entry("a", 100, 4), fixture.notices, 2));
    fixture.catalog.remove(fixture.now, "a", fixture.notices, 2);
    BOOST_TEST(fixture.catalog.put(fixture.now, entry("a", 100, 4), fixture.notices, 2));
}
