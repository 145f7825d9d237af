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

struct World {
    TimePoint now{1'000s};
    SearcherCatalog catalog;
    SearcherCatalog::Notices notices;

    std::string last() const { return notices.empty() ? "none" : name(notices.back().change); }
};

} // namespace

BOOST_AUTO_TEST_CASE(registrationsAreTakenInTheirOrder)
{
    World world;
    BOOST_TEST(world.catalog.put(world.now, entry("a", 100, 1), world.notices));
    BOOST_TEST(world.last() == "added");
    SearcherEntry leaving = entry("a", 100, 5);
    leaving.isLeaving = true;
    BOOST_TEST(world.catalog.put(world.now, leaving, world.notices));
    BOOST_TEST(world.last() == "updated");
    BOOST_TEST(!world.catalog.put(world.now, entry("a", 100, 4), world.notices));
    BOOST_TEST(world.catalog.find("a")->isLeaving);
    BOOST_TEST(world.catalog.put(world.now, entry("a", 200, 0), world.notices));
    BOOST_TEST(world.last() == "restarted");
    BOOST_TEST(!world.catalog.put(world.now, entry("a", 100, 9), world.notices));
}

BOOST_AUTO_TEST_CASE(removalCountsAtOnceWhileTheStoreIsInOrder)
{
    World world;
    world.catalog.put(world.now, entry("a", 100, 3), world.notices);
    world.catalog.remove(world.now, "a", world.notices);
    BOOST_TEST(world.last() == "removed");
    BOOST_TEST(world.catalog.size() == 0U);
    BOOST_TEST(!world.catalog.put(world.now + 1s, entry("a", 100, 2), world.notices));
    BOOST_TEST(world.catalog.put(world.now + 1s, entry("a", 100, 4), world.notices));
}

BOOST_AUTO_TEST_CASE(lapsedRegistrationsWaitForTheirReturn)
{
    World world;
    world.catalog.put(world.now, entry("alive", 100, 3), world.notices);
    world.catalog.put(world.now, entry("gone", 100, 3), world.notices);
    world.catalog.onStoreReturned(world.now);
    world.notices.clear();
    world.catalog.keepOnly(world.now, {}, world.notices);
    BOOST_TEST(world.notices.empty());
    world.catalog.put(world.now + 1s, entry("alive", 100, 4), world.notices);
    world.notices.clear();
    BOOST_REQUIRE(world.catalog.wakeAt().has_value());
    world.catalog.onTimer(*world.catalog.wakeAt(), world.notices);
    BOOST_REQUIRE(world.notices.size() == 1U);
    BOOST_TEST(world.notices.front().entry.instance == "gone");
    BOOST_TEST(world.catalog.find("alive") != nullptr);
    BOOST_TEST(!world.catalog.wakeAt().has_value());
}

BOOST_AUTO_TEST_CASE(leavingSearcherIsNotKeptAfterAnOutage)
{
    World world;
    SearcherEntry leaving = entry("a", 100, 5);
    leaving.isLeaving = true;
    world.catalog.put(world.now, leaving, world.notices);
    world.catalog.onStoreReturned(world.now);
    world.catalog.remove(world.now, "a", world.notices);
    BOOST_TEST(world.last() == "removed");
}
