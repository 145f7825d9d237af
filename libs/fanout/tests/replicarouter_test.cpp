#include "fanout/replicarouter.h"

#include <boost/test/unit_test.hpp>

namespace sassafrasvane
{

namespace
{

using namespace std::chrono_literals;

const TimePoint origin{Duration{1'000'000}};
const DaemonId self{1};
const DaemonId other{2};

RouterView viewOf(std::vector<std::string> domainsOut, ServerState firstState = ServerState::Live)
{
    BackEndMap backEnd;
    backEnd.name = "riders";
    backEnd.searchers.push_back({SearcherId{0}, Address{0x7f000001, 9000}, "a", firstState});
    backEnd.searchers.push_back({SearcherId{1}, Address{0x7f000001, 9001}, "b"});
    IndexMap index;
    index.version = IndexVersion{1};
    index.parts.push_back({PartId{0}, 0, 10, {SearcherId{0}, SearcherId{1}}});
    backEnd.versions.push_back(index);
    RouterView view;
    view.map = std::make_shared<const ShardMap>(ShardMap::Builder().backEnd(backEnd).build(ConfigVersion{1}).value());
    Configuration configuration;
    configuration.domainsOut = std::move(domainsOut);
    view.configuration = std::make_shared<const Configuration>(configuration);
    const std::vector<DaemonId> daemons{self, other};
    view.holders = std::make_shared<const HolderTable>(
        HolderTable::Builder().map(*view.map).daemons(daemons).holdersOf("riders", 2).build());
    return view;
}

const Part &onlyPart(const RouterView &view)
{
    return view.map->find("riders")->versions[0].parts[0];
}

} // namespace

BOOST_AUTO_TEST_CASE(takenOutAndLeavingSearchersAreNeverChosen)
{
    ReplicaRouter router(self, 1);
    const RouterView out = viewOf({"a"});
    const RouterView leaving = viewOf({}, ServerState::Leaving);
    for (int i = 0; i < 50; ++i) {
        router.setView(out);
        BOOST_TEST((router.choose(origin, IndexVersion{1}, onlyPart(out), {}) == SearcherId{1}));
        router.setView(leaving);
        BOOST_TEST((router.choose(origin, IndexVersion{1}, onlyPart(leaving), {}) == SearcherId{1}));
    }
}

BOOST_AUTO_TEST_CASE(failingSearcherIsAvoidedWhileThereIsAnother)
{
    ReplicaRouter router(self, 1);
    const RouterView view = viewOf({});
    router.setView(view);
    router.onReply(
        origin, {CallId{1}, SearcherId{0}, IndexVersion{1}, CallOutcome::Failed, Errc::Timeout, true, {}}, 1ms, other);
    for (int i = 0; i < 50; ++i) {
        BOOST_TEST((router.choose(origin + 1ms, IndexVersion{1}, onlyPart(view), {}) == SearcherId{1}));
    }
    const std::vector<SearcherId> avoid{SearcherId{1}};
    BOOST_TEST((router.choose(origin + 1ms, IndexVersion{1}, onlyPart(view), avoid) == SearcherId{0}));
}

BOOST_AUTO_TEST_CASE(lackedVersionIsNotAskedForAgainSoon)
{
    ReplicaRouter router(self, 1);
    const RouterView view = viewOf({});
    router.setView(view);
    router.onReply(origin,
                   {CallId{1}, SearcherId{0}, IndexVersion{1}, CallOutcome::WrongVersion, Errc::WrongVersion, true, {}},
                   1ms,
                   other);
    const std::vector<SearcherId> avoid{SearcherId{1}};
    BOOST_TEST(!router.choose(origin + 1s, IndexVersion{1}, onlyPart(view), avoid).has_value());
    BOOST_TEST(router.choose(origin + 3s, IndexVersion{1}, onlyPart(view), avoid).has_value());
}

BOOST_AUTO_TEST_CASE(fasterOfTwoSearchersIsPreferred)
{
    ReplicaRouter router(self, 1);
    const RouterView view = viewOf({});
    router.setView(view);
    router.onReply(origin,
                   {CallId{1}, SearcherId{0}, IndexVersion{1}, CallOutcome::Answered, Errc::Internal, true, {}},
                   50ms,
                   other);
    router.onReply(origin,
                   {CallId{2}, SearcherId{1}, IndexVersion{1}, CallOutcome::Answered, Errc::Internal, true, {}},
                   5ms,
                   other);
    for (int i = 0; i < 50; ++i) {
        BOOST_TEST((router.choose(origin, IndexVersion{1}, onlyPart(view), {}) == SearcherId{1}));
    }
}

BOOST_AUTO_TEST_CASE(holderIsThisDaemonIfItIsOneElseAUsableOne)
{
    ReplicaRouter router(self, 1);
    router.setView(viewOf({}));
    BOOST_TEST((router.holder(origin, SearcherId{0}) == self));
    ReplicaRouter stranger(DaemonId{3}, 1);
    stranger.setView(viewOf({}));
    stranger.setUnusableDaemons({self});
    BOOST_TEST((stranger.holder(origin, SearcherId{0}) == other));
    stranger.setUnusableDaemons({self, other});
    BOOST_TEST(!stranger.holder(origin, SearcherId{0}).has_value());
}

BOOST_AUTO_TEST_CASE(holderThatRefusedIsPassedOverForATime)
{
    ReplicaRouter router(self, 1);
    router.setView(viewOf({}));
    const SearchReply refusal{
        CallId{1}, SearcherId{0}, IndexVersion{1}, CallOutcome::Refused, Errc::Overloaded, false, {}};
    router.onReply(origin, refusal, 1ms, self);
    BOOST_TEST((router.holder(origin + 1ms, SearcherId{0}) == other));
    BOOST_TEST((router.holder(origin + 1s, SearcherId{0}) == self));
    router.onReply(origin + 2ms, refusal, 1ms, other);
    BOOST_TEST((router.holder(origin + 3ms, SearcherId{0}) == self));
}

} // namespace sassafrasvane
