#include "answercheck.h"
#include "loadreport.h"
#include "searchresult.h"

#include <boost/test/unit_test.hpp>

namespace sassafrasvane
{

namespace
{

BackEndMap twoParts()
{
    BackEndMap backEnd;
    backEnd.name = "riders";
    backEnd.searchers.push_back({SearcherId{0}, Address{0x7f000001, 9000}, "a"});
    IndexMap index;
    index.version = IndexVersion{3};
    index.parts = {{PartId{0}, 0, 64, {SearcherId{0}}}, {PartId{1}, 64, 128, {SearcherId{0}}}};
    backEnd.versions.push_back(index);
    const Result<ShardMap> map = ShardMap::Builder().backEnd(backEnd).build(ConfigVersion{1});
    return *map.value().find("riders");
}

nlohmann::json answerFor(std::uint64_t index, std::uint64_t end, double coverage, const nlohmann::json &missed)
{
    nlohmann::json hits = nlohmann::json::array();
    for (const StandinHit &hit : searchResult(index, 0, end, "q", 4)) {
        hits.push_back({{"key", hit.key}, {"score", hit.score}, {"body", hit.body}});
    }
    return {{"snapshot", 3}, {"coverage", coverage}, {"missed", missed}, {"hits", hits}};
}

} // namespace

BOOST_AUTO_TEST_CASE(rightAnswersPass)
{
    const nlohmann::json none = nlohmann::json::array();
    const nlohmann::json second = nlohmann::json::array({{{"part", 1}, {"reason", "timeout"}}});
    BOOST_TEST(faultOf(twoParts(), {"q", 4}, answerFor(3, 128, 1.0, none)).empty());
    BOOST_TEST(faultOf(twoParts(), {"q", 4}, answerFor(3, 64, 0.5, second)).empty());
}

BOOST_AUTO_TEST_CASE(wrongCoverageMixedSnapshotsAndMissingHitsAreFound)
{
    const nlohmann::json none = nlohmann::json::array();
    const nlohmann::json second = nlohmann::json::array({{{"part", 1}, {"reason", "timeout"}}});
    BOOST_TEST(!faultOf(twoParts(), {"q", 4}, answerFor(3, 64, 1.0, second)).empty());
    BOOST_TEST(!faultOf(twoParts(), {"q", 4}, answerFor(3, 64, 1.0, none)).empty());
    BOOST_TEST(!faultOf(twoParts(), {"q", 4}, answerFor(2, 128, 1.0, none)).empty());
}

BOOST_AUTO_TEST_CASE(keyThatBeginsLikeAnotherIsNotTakenForIt)
{
    std::map<std::string, ClassResult> results;
    results["booking"].runs = {{"booking-1", RunSaid::NotRun}, {"booking-10", RunSaid::Ran}};
    checkRuns(results, {{"booking-10", 1}});
    BOOST_TEST(results["booking"].wrong.empty());
}

BOOST_AUTO_TEST_CASE(doubledAndLostRunsAreFound)
{
    std::map<std::string, ClassResult> results;
    results["booking"].runs
        = {{"a", RunSaid::Ran}, {"b", RunSaid::NotRun}, {"c", RunSaid::Unknown}, {"d", RunSaid::Ran}};
    checkRuns(results, {{"a", 2}, {"b", 1}, {"c", 1}});
    BOOST_TEST(results["booking"].wrong["a request ran twice"] == 1U);
    BOOST_TEST(results["booking"].wrong["a request was said not to have run but did"] == 1U);
    BOOST_TEST(results["booking"].wrong["a request was said to have run but did not"] == 1U);
    BOOST_TEST(!isRight(results));
}

} // namespace sassafrasvane
