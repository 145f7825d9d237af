#include "shardmap/holders.h"
#include "shardmap/shardmap.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <set>

namespace sassafrasvane
{

namespace
{

constexpr std::uint64_t partWidth = 100;

BackEndMap backEndMap(std::uint32_t searchers, std::uint32_t parts)
{
    BackEndMap backEnd;
    backEnd.name = "riders";
    for (std::uint32_t i = 0; i < searchers; ++i) {
        backEnd.searchers.push_back({SearcherId{i}, Address{0x7f000001, static_cast<std::uint16_t>(9000 + i)}, "a"});
    }
    IndexMap index;
    index.version = IndexVersion{1};
    for (std::uint32_t i = 0; i < parts; ++i) {
        index.parts.push_back({PartId{i}, i * partWidth, (i + 1) * partWidth, {SearcherId{i % searchers}}});
    }
    backEnd.versions.push_back(index);
    return backEnd;
}

std::vector<DaemonId> daemonList(std::uint64_t count)
{
    std::vector<DaemonId> daemons;
    for (std::uint64_t i = 0; i < count; ++i) {
        daemons.push_back(DaemonId{1000 + i});
    }
    return daemons;
}

std::string faultOf(BackEndMap backEnd)
{
    const Result<ShardMap> map = ShardMap::Builder().backEnd(std::move(backEnd)).build(ConfigVersion{1});
    return map.has_error() ? map.error().detail : std::string();
}

} // namespace

BOOST_AUTO_TEST_CASE(mapFindsWhatItHolds)
{
    const Result<ShardMap> map = ShardMap::Builder().backEnd(backEndMap(3, 6)).build(ConfigVersion{4});
    BOOST_REQUIRE(map.has_value());
    const BackEndMap *riders = map.value().find("riders");
    BOOST_REQUIRE(riders != nullptr);
    BOOST_TEST(riders->versions[0].width == 6 * partWidth);
    BOOST_TEST((riders->versions[0].indexOf(PartId{5}) == std::optional<std::size_t>(5)));
    BOOST_TEST((map.value().backEndOf(SearcherId{2}) == riders));
    BOOST_TEST(map.value().searcher(SearcherId{9}) == nullptr);
}

BOOST_AUTO_TEST_CASE(mapNamesEachFault)
{
    BackEndMap gap = backEndMap(3, 6);
    gap.versions[0].parts.erase(gap.versions[0].parts.begin() + 2);
    BOOST_TEST(faultOf(gap).find("part 3 does not begin where") != std::string::npos);

    BackEndMap orphan = backEndMap(3, 6);
    orphan.versions[0].parts[1].replicas = {SearcherId{77}};
    orphan.versions[0].parts[4].replicas.clear();
    BOOST_TEST(faultOf(orphan).find("names searcher 77") != std::string::npos);
    BOOST_TEST(faultOf(orphan).find("part 4 has no replica") != std::string::npos);

    BackEndMap doubled = backEndMap(3, 6);
    doubled.searchers.push_back(doubled.searchers[0]);
    BOOST_TEST(faultOf(doubled).find("searcher 0 appears twice") != std::string::npos);
}

RC_BOOST_PROP(sharesOfAllHoldersAddUpToTheTotal, (std::uint32_t total, std::uint8_t others))
{
    const std::uint32_t holders = 1U + others;
    std::uint64_t sum = 0;
    for (std::uint32_t rank = 0; rank < holders; ++rank) {
        sum += HolderShare{rank, holders}.of(total);
    }
    RC_ASSERT(sum == total);
}

BOOST_AUTO_TEST_CASE(losingADaemonMovesOnlyItsOwnSearchers)
{
    const Result<ShardMap> map = ShardMap::Builder().backEnd(backEndMap(60, 60)).build(ConfigVersion{1});
    std::vector<DaemonId> daemons = daemonList(8);
    const HolderTable before = HolderTable::Builder().map(map.value()).daemons(daemons).holdersOf("riders", 2).build();
    const DaemonId lost = daemons[3];
    daemons.erase(daemons.begin() + 3);
    const HolderTable after = HolderTable::Builder().map(map.value()).daemons(daemons).holdersOf("riders", 2).build();
    for (std::uint32_t i = 0; i < 60; ++i) {
        const std::span<const DaemonId> holders = before.holders(SearcherId{i});
        BOOST_TEST(holders.size() == 2U);
        std::set<DaemonId> kept(holders.begin(), holders.end());
        kept.erase(lost);
        for (const DaemonId daemon : kept) {
            BOOST_TEST(after.share(SearcherId{i}, daemon).has_value());
        }
    }
    BOOST_TEST(after.heldBy(lost).empty());
    BOOST_TEST(!before.heldBy(lost).empty());
}

} // namespace sassafrasvane
