#include "placement/incarnationstate.h"

#include <boost/test/unit_test.hpp>

using namespace sassafrasvane;

namespace
{

SearcherEntry entryOf(const std::string &instance, std::uint64_t startedAtMs = 1)
{
    SearcherEntry entry;
    entry.instance = instance;
    entry.startedAtMs = startedAtMs;
    return entry;
}

} // namespace

BOOST_AUTO_TEST_SUITE(incarnationstate)

BOOST_AUTO_TEST_CASE(stateBelongsToOneProcessOfTheSearcher)
{
    RetainedIncarnations retained;
    const std::shared_ptr<IncarnationState> state = std::make_shared<IncarnationState>();
    retained.keep(entryOf("s1"), state);
    BOOST_TEST(retained.take(entryOf("s1", 2)) != state);
    BOOST_TEST(retained.take(entryOf("s1")) == state);
    BOOST_TEST(retained.take(entryOf("s1")) != state);
}

BOOST_AUTO_TEST_CASE(oldestStatesAreDropped)
{
    RetainedIncarnations retained;
    const std::shared_ptr<IncarnationState> state = std::make_shared<IncarnationState>();
    retained.keep(entryOf("s1"), state);
    for (std::size_t other = 0; other < RetainedIncarnations::maxStates(); ++other) {
        retained.keep(entryOf("other-" + std::to_string(other)), std::make_shared<IncarnationState>());
    }
    BOOST_TEST(retained.take(entryOf("s1")) != state);
}

BOOST_AUTO_TEST_CASE(searcherThatRegistersOftenKeepsItsLatestState)
{
    RetainedIncarnations retained;
    const std::shared_ptr<IncarnationState> state = std::make_shared<IncarnationState>();
    retained.keep(entryOf("s1"), state);
    retained.take(entryOf("s1"));
    for (std::size_t other = 0; other < RetainedIncarnations::maxStates() - 2; ++other) {
        retained.keep(entryOf("other-" + std::to_string(other)), std::make_shared<IncarnationState>());
    }
    retained.keep(entryOf("s1"), state);
    retained.keep(entryOf("last"), std::make_shared<IncarnationState>());
    BOOST_TEST(retained.take(entryOf("s1")) == state);
}

BOOST_AUTO_TEST_SUITE_END()
