#include "fanout/query.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <set>

namespace sassafrasvane
{

namespace
{

using namespace std::chrono_literals;

constexpr std::uint64_t partWidth = 100;
const TimePoint origin{Duration{1'000'000}};

/// Four parts, each on two searchers, at versions 2 and 1.
std::shared_ptr<const ShardMap> smallMap()
{
    BackEndMap backEnd;
    backEnd.name = "riders";
    for (std::uint32_t i = 0; i < 4; ++i) {
        backEnd.searchers.push_back({SearcherId{i}, Address{0x7f000001, static_cast<std::uint16_t>(9000 + i)}, "a"});
    }
    for (const std::uint64_t version : {2, 1}) {
        IndexMap index;
        index.version = IndexVersion{version};
        for (std::uint32_t i = 0; i < 4; ++i) {
            index.parts.push_back(
                {PartId{i}, i * partWidth, (i + 1) * partWidth, {SearcherId{i}, SearcherId{(i + 1) % 4}}});
        }
        backEnd.versions.push_back(index);
    }
    return std::make_shared<const ShardMap>(ShardMap::Builder().backEnd(backEnd).build(ConfigVersion{1}).value());
}

/// A query with its surroundings.
struct Fixture {
    std::shared_ptr<const ShardMap> map = smallMap();
    std::set<std::pair<std::uint64_t, std::uint32_t>> unusable; ///< Pairs of version and searcher.
    int budget = 100;
    std::uint64_t lastCall = 0;
    QueryTerms terms{origin + 100ms, origin + 20ms, origin + 10ms, 1.0, 10};
    QueryActions actions;
    std::map<std::uint64_t, SearchCall> calls;
    std::optional<Query> query;

    void start()
    {
        QueryHooks hooks;
        hooks.chooseReplica = [this](IndexVersion version,
                                     const Part &part,
                                     std::span<const SearcherId> avoid) -> std::optional<SearcherId> {
            for (const SearcherId replica : part.replicas) {
                const bool isAvoided = std::find(avoid.begin(), avoid.end(), replica) != avoid.end();
                if (!isAvoided && !unusable.contains({version.value, replica.value})) {
                    return replica;
                }
            }
            return std::nullopt;
        };
        hooks.spendExtra = [this] { return budget-- > 0; };
        hooks.nextCall = [this] { return CallId{++lastCall}; };
        hooks.chooseProbe = [](std::span<const SearcherId> searchers) -> std::optional<SearcherId> {
            return searchers.empty() ? std::nullopt : std::optional<SearcherId>(searchers.front());
        };
        query = Query::Builder().map(map, "riders").terms(terms).hooks(hooks).build(origin).value();
        query->start(origin, actions);
        collect();
    }

    void collect()
    {
        for (const SearchCall &call : actions.send) {
            calls[call.call.value] = call;
        }
    }

    static SearchReply answerTo(const SearchCall &call)
    {
        SearchReply reply{call.call, call.searcher, call.version, CallOutcome::Answered, Errc::Internal, true, {}};
        for (const PartId part : call.parts) {
            reply.parts.push_back({part, {Hit{part.value * partWidth, static_cast<double>(part.value), "hit"}}});
        }
        return reply;
    }

    void reply(const SearchReply &reply, Duration after = 1ms)
    {
        actions.clear();
        query->onReply(origin + after, reply, actions);
        collect();
    }

    void timer(Duration after)
    {
        actions.clear();
        query->onTimer(origin + after, actions);
        collect();
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(wholeAnswerMergesEveryPartOnce)
{
    Fixture fixture;
    fixture.start();
    BOOST_TEST(fixture.calls.size() == 4U);
    const std::map<std::uint64_t, SearchCall> calls = fixture.calls;
    for (const auto &[id, call] : calls) {
        fixture.reply(Fixture::answerTo(call));
    }
    BOOST_REQUIRE(fixture.actions.answer.has_value());
    BOOST_TEST(fixture.actions.answer->coverage == 1.0);
    BOOST_TEST(fixture.actions.answer->hits.size() == 4U);
    BOOST_TEST(fixture.actions.answer->hits.front().score == 3.0);
    BOOST_TEST((fixture.actions.answer->version == IndexVersion{2}));
    BOOST_TEST(fixture.actions.answer->extraCalls == 0U);
}

BOOST_AUTO_TEST_CASE(replyOfAnotherVersionIsNeverMerged)
{
    Fixture fixture;
    fixture.budget = 0;
    fixture.start();
    SearchReply wrong = Fixture::answerTo(fixture.calls[1]);
    wrong.version = IndexVersion{1};
    fixture.reply(wrong);
    for (const std::uint64_t id : {2, 3, 4}) {
        fixture.reply(Fixture::answerTo(fixture.calls[id]));
    }
    BOOST_REQUIRE(fixture.actions.answer.has_value());
    BOOST_TEST(fixture.actions.answer->coverage == 0.75);
    BOOST_TEST(fixture.actions.answer->hits.size() == 3U);
    BOOST_TEST((fixture.actions.answer->missed.at(0).reason == Errc::WrongVersion));
}

BOOST_AUTO_TEST_CASE(doubledAndForeignRepliesAreDropped)
{
    Fixture fixture;
    fixture.start();
    const SearchReply first = Fixture::answerTo(fixture.calls[1]);
    fixture.reply(first);
    fixture.reply(first);
    SearchReply foreign = Fixture::answerTo(fixture.calls[2]);
    foreign.call = CallId{999};
    fixture.reply(foreign);
    SearchReply crossed = Fixture::answerTo(fixture.calls[2]);
    crossed.call = CallId{3};
    fixture.reply(crossed);
    for (const std::uint64_t id : {2, 3, 4}) {
        fixture.reply(Fixture::answerTo(fixture.calls[id]));
    }
    BOOST_REQUIRE(fixture.actions.answer.has_value());
    BOOST_TEST(fixture.actions.answer->coverage == 1.0);
    BOOST_TEST(fixture.actions.answer->droppedReplies == 3U);
}

BOOST_AUTO_TEST_CASE(truncatedReplyIsCompletedElsewhere)
{
    Fixture fixture;
    fixture.start();
    SearchReply truncated = Fixture::answerTo(fixture.calls[1]);
    truncated.parts.clear();
    fixture.reply(truncated);
    BOOST_REQUIRE(fixture.actions.send.size() == 1U);
    BOOST_TEST(fixture.actions.send[0].isExtra);
    BOOST_TEST((fixture.actions.send[0].searcher == SearcherId{1}));
}

BOOST_AUTO_TEST_CASE(hedgeStaysWithinTheBudgetAndTheLoserIsCancelled)
{
    Fixture fixture;
    fixture.budget = 1;
    fixture.start();
    fixture.reply(Fixture::answerTo(fixture.calls[1]));
    fixture.timer(20ms);
    BOOST_REQUIRE(fixture.actions.send.size() == 1U);
    const SearchCall hedge = fixture.actions.send[0];
    BOOST_TEST(hedge.isExtra);
    BOOST_TEST((hedge.parts == std::vector<PartId>{PartId{3}}));
    fixture.reply(Fixture::answerTo(hedge), 21ms);
    for (const std::uint64_t id : {2, 3}) {
        fixture.reply(Fixture::answerTo(fixture.calls[id]), 22ms);
    }
    BOOST_REQUIRE(fixture.actions.answer.has_value());
    BOOST_TEST(fixture.actions.answer->extraCalls == 1U);
    BOOST_TEST(fixture.actions.answer->coverage == 1.0);
    BOOST_TEST((fixture.actions.cancel == std::vector<CallId>{CallId{4}}));
}

BOOST_AUTO_TEST_CASE(answerStopsEarlyOnlyAtTheQuorumAndAfterItsTime)
{
    Fixture fixture;
    fixture.terms.quorum = 0.75;
    fixture.terms.hedgeAt = origin + 90ms;
    fixture.start();
    for (const std::uint64_t id : {1, 2, 3}) {
        fixture.reply(Fixture::answerTo(fixture.calls[id]));
    }
    BOOST_TEST(!fixture.query->isFinished());
    fixture.timer(10ms);
    BOOST_REQUIRE(fixture.actions.answer.has_value());
    BOOST_TEST(fixture.actions.answer->coverage == 0.75);
    BOOST_REQUIRE(fixture.actions.answer->missed.size() == 1U);
    BOOST_TEST((fixture.actions.answer->missed[0].reason == Errc::Timeout));
}

BOOST_AUTO_TEST_CASE(deadlineEndsTheQueryWithItsTrueCoverage)
{
    Fixture fixture;
    fixture.budget = 0;
    fixture.start();
    fixture.reply(Fixture::answerTo(fixture.calls[1]));
    fixture.timer(100ms);
    BOOST_REQUIRE(fixture.actions.answer.has_value());
    BOOST_TEST(fixture.actions.answer->coverage == 0.25);
    BOOST_TEST(fixture.actions.answer->coveredParts == 1U);
    BOOST_TEST(fixture.actions.cancel.size() == 3U);
}

BOOST_AUTO_TEST_CASE(lostVersionRestartsTheWholeQueryOnce)
{
    Fixture fixture;
    fixture.start();
    fixture.reply(Fixture::answerTo(fixture.calls[1]));
    fixture.unusable = {{2, 1}, {2, 2}};
    SearchReply lost{
        fixture.calls[2].call, SearcherId{1}, IndexVersion{2}, CallOutcome::WrongVersion, Errc::WrongVersion, true, {}};
    const SearchReply late = Fixture::answerTo(fixture.calls[3]);
    fixture.reply(lost);
    BOOST_TEST(fixture.actions.send.size() == 4U);
    BOOST_TEST(fixture.actions.cancel.size() == 2U);
    BOOST_TEST((fixture.query->version() == IndexVersion{1}));
    const std::vector<SearchCall> again = fixture.actions.send;
    fixture.reply(late);
    for (const SearchCall &call : again) {
        fixture.reply(Fixture::answerTo(call));
    }
    BOOST_REQUIRE(fixture.actions.answer.has_value());
    BOOST_TEST(fixture.actions.answer->isRestarted);
    BOOST_TEST(fixture.actions.answer->coverage == 1.0);
    BOOST_TEST((fixture.actions.answer->version == IndexVersion{1}));
    BOOST_TEST(fixture.actions.answer->droppedReplies == 1U);
}

BOOST_AUTO_TEST_CASE(newestVersionThatCanBeServedWholeIsChosen)
{
    Fixture fixture;
    fixture.unusable = {{2, 0}, {2, 1}};
    fixture.start();
    BOOST_TEST((fixture.query->version() == IndexVersion{1}));
}

BOOST_AUTO_TEST_CASE(nothingUsableEndsAtOnceWithZeroCoverage)
{
    Fixture fixture;
    for (std::uint32_t i = 0; i < 4; ++i) {
        fixture.unusable.insert({1, i});
        fixture.unusable.insert({2, i});
    }
    fixture.start();
    BOOST_REQUIRE(fixture.actions.answer.has_value());
    BOOST_TEST(fixture.actions.answer->coverage == 0.0);
    BOOST_TEST(fixture.actions.answer->sentCalls == 0U);
}

BOOST_AUTO_TEST_CASE(refusalThatWasNotSentIsRetriedWithoutBudget)
{
    Fixture fixture;
    fixture.budget = 0;
    fixture.start();
    fixture.reply({CallId{1}, SearcherId{0}, IndexVersion{2}, CallOutcome::Refused, Errc::Overloaded, false, {}});
    BOOST_REQUIRE(fixture.actions.send.size() == 1U);
    BOOST_TEST(!fixture.actions.send[0].isExtra);
}

BOOST_AUTO_TEST_CASE(refusalOfAHolderLeavesItsSearcherAChoice)
{
    Fixture fixture;
    fixture.budget = 0;
    fixture.start();
    for (int i = 0; i < 4; ++i) {
        const SearchCall call = i == 0 ? fixture.calls[1] : fixture.actions.send.at(0);
        BOOST_TEST((call.searcher == SearcherId{0}));
        fixture.reply({call.call, call.searcher, call.version, CallOutcome::Refused, Errc::Overloaded, false, {}});
    }
    const SearchCall last = fixture.actions.send.at(0);
    fixture.reply({last.call, last.searcher, last.version, CallOutcome::Refused, Errc::Overloaded, false, {}});
    BOOST_TEST(fixture.actions.send.empty());
}

BOOST_AUTO_TEST_CASE(unknownQueryGoesToOneSearcherUntilItHasAnswered)
{
    Fixture fixture;
    fixture.terms.firstSend = FirstSend::ProbeFirst;
    fixture.start();
    BOOST_REQUIRE(fixture.calls.size() == 1U);
    fixture.reply(Fixture::answerTo(fixture.calls[1]));
    BOOST_TEST(fixture.actions.send.size() == 3U);
    for (const std::uint64_t id : {2, 3, 4}) {
        fixture.reply(Fixture::answerTo(fixture.calls[id]));
    }
    BOOST_REQUIRE(fixture.actions.answer.has_value());
    BOOST_TEST(fixture.actions.answer->coverage == 1.0);
    BOOST_TEST(fixture.actions.answer->extraCalls == 0U);
    BOOST_TEST(fixture.actions.answer->neededCalls == 4U);
}

BOOST_AUTO_TEST_CASE(queryThatLosesItsProbeGoesNowhereElse)
{
    for (const FirstSend firstSend : {FirstSend::ProbeFirst, FirstSend::Suspect}) {
        Fixture fixture;
        fixture.terms.firstSend = firstSend;
        fixture.start();
        fixture.reply({CallId{1}, SearcherId{0}, IndexVersion{2}, CallOutcome::Failed, Errc::ConnectionLost, true, {}});
        BOOST_TEST(fixture.actions.send.empty());
        BOOST_REQUIRE(fixture.actions.answer.has_value());
        BOOST_TEST(fixture.actions.answer->coverage == 0.0);
    }
}

BOOST_AUTO_TEST_CASE(slowProbeIsFollowedByAnotherUnlessTheQueryIsSuspect)
{
    Fixture unknown;
    unknown.terms.firstSend = FirstSend::ProbeFirst;
    unknown.start();
    unknown.timer(20ms);
    BOOST_TEST(unknown.actions.send.size() == 1U);
    Fixture suspect;
    suspect.terms.firstSend = FirstSend::Suspect;
    suspect.start();
    suspect.timer(20ms);
    BOOST_TEST(suspect.actions.send.empty());
}

BOOST_AUTO_TEST_CASE(builderNamesWhatIsWrong)
{
    const Result<Query> noHooks = Query::Builder().map(smallMap(), "riders").build(origin);
    BOOST_TEST((noHooks.error().errc() == Errc::Internal));
    Fixture fixture;
    QueryHooks hooks;
    hooks.chooseReplica = [](IndexVersion, const Part &, std::span<const SearcherId>) { return std::nullopt; };
    hooks.spendExtra = [] { return false; };
    hooks.nextCall = [] { return CallId{1}; };
    const Result<Query> late
        = Query::Builder().map(smallMap(), "riders").terms(fixture.terms).hooks(hooks).build(origin + 1s);
    BOOST_TEST((late.error().errc() == Errc::DeadlinePassed));
    const Result<Query> unknown
        = Query::Builder().map(smallMap(), "nobody").terms(fixture.terms).hooks(hooks).build(origin);
    BOOST_TEST((unknown.error().errc() == Errc::NoSnapshot));
}

} // namespace sassafrasvane
