#include "backend.h"
#include "searchresult.h"

#include <boost/test/unit_test.hpp>

#include <future>

namespace sassafrasvane
{

namespace
{

/// One searcher, served at free ports.
struct BackEnd {
    explicit BackEnd(const nlohmann::json &overrides = nlohmann::json::object())
        : backEnd(readStandinFile(file(overrides)), 1), control(backEnd.start().value())
    {
    }

    static nlohmann::json file(const nlohmann::json &overrides)
    {
        nlohmann::json searcher = nlohmann::json::parse(R"({"id": 1, "serviceMs": 0,
            "warmMs": 0, "restartMs": 0,
            "indexes": [{"index": 41, "parts": [{"id": 0, "begin": 0, "end": 100},
                                                {"id": 1, "begin": 100, "end": 250}]}]})");
        searcher.update(overrides);
        return {{"searchers", {searcher}}};
    }

    httplib::Client client() const { return clientOf(backEnd.addressOf(1)); }

    static httplib::Client clientOf(const Address &address) { return httplib::Client(address.host(), address.port); }

    void set(const nlohmann::json &json) const
    {
        clientOf(control).Post("/control/searchers/1", json.dump(), "application/json");
    }

    nlohmann::json records() const
    {
        return nlohmann::json::parse(clientOf(control).Get("/control/records")->body).at("searchers").at("1");
    }

    /// Polls the records until \p name has \p value.
    void await(const char *name, const nlohmann::json &value) const
    {
        while (records().at(name) != value) {
            std::this_thread::yield();
        }
    }

    StandinBackEnd backEnd;
    Address control;
};

httplib::Result search(httplib::Client client, const std::string &query, int index = 41, const char *call = "1")
{
    const nlohmann::json body{{"index", index}, {"parts", {0, 1}}, {"query", query}, {"limit", 5}};
    return client.Post("/search", {{"X-Call-Id", call}}, body.dump(), "application/json");
}

nlohmann::json parsed(const httplib::Result &result)
{
    return nlohmann::json::parse(result->body);
}

} // namespace

BOOST_AUTO_TEST_CASE(hitsDoNotDependOnTheDivisionIntoParts)
{
    const std::vector<StandinHit> whole = searchResult(41, 0, 250, "lane", 1000);
    std::vector<StandinHit> divided = searchResult(41, 0, 99, "lane", 1000);
    for (const StandinHit &hit : searchResult(41, 99, 250, "lane", 1000)) {
        divided.push_back(hit);
    }
    BOOST_TEST(whole.size() == divided.size());
    for (const StandinHit &hit : divided) {
        BOOST_TEST((std::find(whole.begin(), whole.end(), hit) != whole.end()));
    }
    BOOST_TEST((searchResult(42, 0, 250, "lane", 1000) != whole));
}

BOOST_AUTO_TEST_CASE(searchAnswersForTheAskedPartsOrRefusesTheVersion)
{
    const BackEnd backEnd;
    const httplib::Result found = search(backEnd.client(), "lane");
    BOOST_REQUIRE(found);
    const nlohmann::json body = parsed(found);
    BOOST_TEST(body.at("index") == 41);
    const std::vector<StandinHit> expected = searchResult(41, 100, 250, "lane", 5);
    BOOST_REQUIRE(body.at("parts").at(1).at("hits").size() == expected.size());
    BOOST_TEST(body.at("parts").at(1).at("hits").at(0).at("key") == expected.at(0).key);
    BOOST_TEST(body.at("parts").at(1).at("hits").at(0).at("score") == expected.at(0).score);
    const httplib::Result other = search(backEnd.client(), "lane", 40);
    BOOST_TEST(other->status == 409);
    BOOST_TEST(parsed(other).at("refused") == "version");
    BOOST_TEST(backEnd.records().at("searchesRun") == 1);
}

BOOST_AUTO_TEST_CASE(crashCutsConnectionsAndBeginsAColdLife)
{
    const BackEnd backEnd;
    const nlohmann::json before = backEnd.records();
    BOOST_TEST(!search(backEnd.client(), "crash! now"));
    const nlohmann::json after = backEnd.records();
    BOOST_TEST(after.at("crashes") == 1);
    BOOST_TEST(after.at("incarnation").get<std::uint64_t>() > before.at("incarnation").get<std::uint64_t>());
    BOOST_TEST(search(backEnd.client(), "lane")->status == 200);
}

BOOST_AUTO_TEST_CASE(coldSearcherCrashesOverItsAllowance)
{
    const BackEnd backEnd(nlohmann::json{{"serviceMs", 3600000}, {"warmMs", 3600000}});
    std::future<httplib::Result> first
        = std::async(std::launch::async, [&] { return search(backEnd.client(), "lane"); });
    backEnd.await("running", 1);
    BOOST_TEST(!search(backEnd.client(), "lane"));
    BOOST_TEST(!first.get());
    const nlohmann::json records = backEnd.records();
    BOOST_TEST(records.at("crashes") == 1);
    BOOST_TEST(records.at("coldRunningPeak") == 2);
}

BOOST_AUTO_TEST_CASE(runsAreCountedByKeyAndNotDeduplicated)
{
    const BackEnd backEnd;
    const std::string body = R"({"key": "booking-7", "request": {"lane": 3}})";
    BOOST_TEST(parsed(backEnd.client().Post("/run", body, "application/json")).at("result").at("run") == 1);
    BOOST_TEST(parsed(backEnd.client().Post("/run", body, "application/json")).at("result").at("run") == 2);
    BOOST_TEST(backEnd.records().at("runs").at("booking-7") == 2);
}

BOOST_AUTO_TEST_CASE(drainingSearcherRefusesAndRecordsWhatStillArrives)
{
    const BackEnd backEnd;
    backEnd.set({{"draining", true}});
    const httplib::Result refused = search(backEnd.client(), "lane");
    BOOST_TEST(refused->status == 503);
    BOOST_TEST(parsed(refused).at("refused") == "draining");
    BOOST_TEST(backEnd.records().at("arrivedWhileDraining") == 1);
}

BOOST_AUTO_TEST_CASE(cancelledCallStopsAndFreesItsSlot)
{
    const BackEnd backEnd(nlohmann::json{{"serviceMs", 3600000}, {"slots", 1}});
    std::future<httplib::Result> running
        = std::async(std::launch::async, [&] { return search(backEnd.client(), "lane", 41, "9"); });
    backEnd.await("running", 1);
    backEnd.client().Post("/cancel", R"({"call": "9"})", "application/json");
    BOOST_TEST(parsed(running.get()).at("cancelled") == true);
    BOOST_TEST(backEnd.records().at("running") == 0);
}

BOOST_AUTO_TEST_CASE(connectionsOverTheCapAreClosed)
{
    const BackEnd backEnd(nlohmann::json{{"connections", 1}});
    httplib::Client held = backEnd.client();
    held.set_keep_alive(true);
    BOOST_TEST(held.Get("/load")->status == 200);
    BOOST_TEST(!backEnd.client().Get("/load"));
    const nlohmann::json records = backEnd.records();
    BOOST_TEST(records.at("connectionsPeak") == 1);
    BOOST_TEST(records.at("connectionsRefused") == 1);
}

} // namespace sassafrasvane
