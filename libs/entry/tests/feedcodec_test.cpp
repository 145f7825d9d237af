#include "entry/feedcodec.h"

#include <boost/test/unit_test.hpp>

using namespace sassafrasvane;

BOOST_AUTO_TEST_CASE(responsesSurviveTheirEncoding)
{
    FeedResponse response;
    response.position = {3, 99};
    response.isSnapshot = true;
    response.age = std::chrono::milliseconds(1'234);
    response.items = {{"a", std::string("\x00\xff bytes", 8), {2, 7}, false}, {"b", "", {3, 8}, true}};
    const Result<FeedResponse> decoded = decodeFeedResponse(encodeFeedResponse(response));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST((decoded.value().position == response.position));
    BOOST_TEST(decoded.value().isSnapshot);
    BOOST_TEST((decoded.value().age == response.age));
    BOOST_REQUIRE(decoded.value().items.size() == 2U);
    BOOST_TEST(decoded.value().items[0].value == response.items[0].value);
    BOOST_TEST(decoded.value().items[1].isRemoved);
    BOOST_TEST((decoded.value().items[0].position == StorePosition(2, 7)));
    BOOST_TEST(decoded.value().isConfirmed);
    response.isConfirmed = false;
    BOOST_TEST(!decodeFeedResponse(encodeFeedResponse(response)).value().isConfirmed);
}

BOOST_AUTO_TEST_CASE(responsesOfEarlierVersionsAreConfirmed)
{
    std::string bytes = encodeFeedResponse({{}, {0, 9}, false, Duration{0}});
    bytes.front() = '\x94';
    bytes.resize(bytes.size() - 2);
    const Result<FeedResponse> decoded = decodeFeedResponse(bytes);
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST(decoded.value().isConfirmed);
    BOOST_TEST((decoded.value().position == StorePosition(0, 9)));
}

BOOST_AUTO_TEST_CASE(brokenResponsesAreRefused)
{
    const std::string whole = encodeFeedResponse({{{"key", "value", {0, 7}, false}}, {0, 9}, false, Duration{0}});
    for (std::size_t size = 0; size < whole.size(); ++size) {
        BOOST_TEST(decodeFeedResponse(whole.substr(0, size)).has_error());
    }
    BOOST_TEST(decodeFeedResponse("\x93\x01\x02\x03").has_error());
}

// A revision that is decoded as another, larger number would make the feed skip every change up to it.
BOOST_AUTO_TEST_CASE(numbersThatAreNotWholeAreRefused)
{
    const std::string whole = encodeFeedResponse({{}, {0, 9}, false, Duration{0}});
    const std::string afterRevision = whole.substr(2);
    BOOST_REQUIRE(decodeFeedResponse(whole).has_value());
    const std::string minusOne = "\xff";
    const std::string float32 = std::string("\xca\xca\xff\xff\xff", 5);
    const std::string float64 = std::string("\xcb\x7e\x37\xe4\x3c\x88\x00\x75\x9c", 9);
    for (const std::string &revision : {minusOne, float32, float64}) {
        std::string unfit = whole.substr(0, 1);
        unfit.append(revision).append(afterRevision);
        BOOST_TEST(decodeFeedResponse(unfit).has_error());
    }
}

BOOST_AUTO_TEST_CASE(requestsSurviveTheirEncoding)
{
    for (const bool wantsItems : {true, false}) {
        FeedRequest request;
        request.after = {wantsItems ? 2U : 0U, 41};
        request.wait = std::chrono::milliseconds(1'000);
        request.wantsItems = wantsItems;
        const std::optional<FeedRequest> read = parseFeedTarget(feedTarget(request));
        BOOST_REQUIRE(read.has_value());
        BOOST_TEST((read->after == request.after));
        BOOST_TEST((read->wait == request.wait));
        BOOST_TEST(read->wantsItems == wantsItems);
    }
    FeedRequest lastKnown;
    lastKnown.acceptsUnconfirmed = true;
    BOOST_TEST(parseFeedTarget(feedTarget(lastKnown))->acceptsUnconfirmed);
    for (const char *target : {"/",
                               "/v1/published",
                               "/v1/published?after=x&waitMs=1",
                               "/v1/published?after=1&waitMs=",
                               "/v1/revision?after=1&waitMs=1&epoch=",
                               "/v1/revision?after=1&waitMs=1&epoch=-1"}) {
        BOOST_TEST(!parseFeedTarget(target).has_value(), target);
    }
}
