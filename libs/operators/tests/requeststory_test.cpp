#include "operators/requeststory.h"

#include <boost/test/unit_test.hpp>

namespace sassafrasvane
{

namespace
{

std::string line(double seconds, const std::string &vm, const std::string &event, const std::string &more = {})
{
    const std::string time = std::to_string(static_cast<std::uint64_t>(seconds * 1e6));
    return R"({"time_us":)" + time + R"(,"vm":")" + vm + R"(","event":")" + event + "\"" + more + "}\n";
}

std::vector<std::string> events(const std::vector<LogLine> &lines)
{
    std::vector<std::string> names;
    names.reserve(lines.size());
    for (const LogLine &each : lines) {
        names.push_back(each.vm + " " + each.event);
    }
    return names;
}

using Names = std::vector<std::string>;

} // namespace

BOOST_AUTO_TEST_CASE(storyHoldsTheRequestsLinesInOrderOfTime)
{
    const std::vector<LogText> logs{{"a",
                                     line(20, "vm-a", "request_ended", R"(,"request":"q1")")
                                         + line(21, "vm-a", "request_ended", R"(,"request":"q2")")},
                                    {"b", line(19, "vm-b", "call_failed", R"(,"request":"q1")")}};
    const RequestStory story = requestStory("q1", logs);
    BOOST_TEST(events(story.lines) == (Names{"vm-b call_failed", "vm-a request_ended"}),
               boost::test_tools::per_element());
    BOOST_TEST(story.surroundings.empty());
}

BOOST_AUTO_TEST_CASE(surroundingsAreOfTheSameVmAndBackEndAndNotOld)
{
    const std::string ended = R"(,"request":"q1","missing":"shard-2,shard-3")";
    const std::string text = line(10, "vm-a", "searcher_changed", R"(,"backend":"shard-3")")
        + line(16, "vm-a", "searcher_changed", R"(,"backend":"shard-3")")
        + line(17, "vm-a", "searcher_changed", R"(,"backend":"shard-9")") + line(18, "vm-a", "store_call_failed")
        + line(20, "vm-a", "request_ended", ended) + line(21, "vm-a", "process_paused");
    const std::vector<LogText> logs{{"a", text}, {"b", line(19, "vm-b", "store_call_failed")}};
    const RequestStory story = requestStory("q1", logs);
    BOOST_TEST(events(story.surroundings) == (Names{"vm-a searcher_changed", "vm-a store_call_failed"}),
               boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(requestThatNoLineNamesLeadsToLostVms)
{
    const std::vector<LogText> logs{{"a", line(1, "vm-a", "process_started")},
                                    {"b",
                                     line(9, "vm-b", "member_changed", R"(,"state":"dead")")
                                         + line(9.5, "vm-b", "request_ended", R"(,"request":"x")")}};
    const RequestStory story = requestStory("q1", logs);
    BOOST_TEST(events(story.surroundings) == (Names{"vm-a process_started", "vm-b member_changed"}),
               boost::test_tools::per_element());
    BOOST_TEST(requestStoryText("q1", story).find("no line names request q1") != std::string::npos);
}

// A caller asks why it got 401 or 429: the answer must name the key's fault, the tenant and its quota.
BOOST_AUTO_TEST_CASE(refusalsBecauseOfKeysAndQuotasAreExplained)
{
    const auto explained = [](const std::string &members) {
        const std::string text = line(1, "vm-a", "request_refused", R"(,"request":"q1",)" + members);
        return requestStoryText("q1", requestStory("q1", std::vector<LogText>{{"a", text}}));
    };
    const std::string unknown = explained(R"("status":401,"reason":"unknown_key","configuration":7)");
    BOOST_TEST(unknown.find("vm-a with status 401 under configuration 7: no tenant holds") != std::string::npos,
               unknown);
    BOOST_TEST(explained(R"("status":401,"reason":"missing_key")").find("has no API key") != std::string::npos);
    BOOST_TEST(explained(R"("status":401,"reason":"unreadable_key")").find("several API keys") != std::string::npos);
    const std::string quota
        = explained(R"("status":429,"tenant":"a","requests_per_second":2.5,"burst":4,"bucket_left":0.0,)"
                    R"("basis":"shared","age_ms":81.5,"retry_after_ms":400)");
    BOOST_TEST(quota.find("tenant a is over its quota of 2.5 requests per second") != std::string::npos, quota);
    BOOST_TEST(quota.find("basis of the decision: shared, 81.5 ms old") != std::string::npos, quota);
    BOOST_TEST(explained(R"("status":503,"reason":"too many requests")").find("refused by") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(unreadableAndDroppedLinesAreTold)
{
    const std::string text = "Segmentation fault\n{\"time_us\":\"x\"}\n"
        + line(3, "vm-a", "log_lines_dropped", R"(,"lines":7)")
        + line(4, "vm-a", "request_ended", R"(,"request":"q1")");
    const RequestStory story = requestStory("q1", std::vector<LogText>{{"a", text}});
    BOOST_TEST(story.unreadable == 2U);
    BOOST_TEST(story.dropped == 7U);
    const std::string shown = requestStoryText("q1", story);
    BOOST_TEST(shown.find("7 lines were dropped") != std::string::npos);
    BOOST_TEST(shown.find("2 lines cannot be read") != std::string::npos);
}

} // namespace sassafrasvane
