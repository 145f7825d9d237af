#include "gather/recordmerge.h"

#include <boost/test/unit_test.hpp>

#include <array>

using namespace sassafrasvane;

namespace
{

std::string record(char first, char last = 'x')
{
    std::string record(recordBytes, 'm');
    record.front() = first;
    record.back() = last;
    return record;
}

} // namespace

BOOST_AUTO_TEST_CASE(greatestRecordsComeFirst)
{
    const std::string first = record('b') + record('\xff') + record('a');
    const std::string second = record('c') + record('a', 'y');
    const std::array<std::string_view, 2> parts{first, second};
    BOOST_TEST(mergeRecords(parts, 3) == record('\xff') + record('c') + record('b'));
    BOOST_TEST(mergeRecords(parts, 9) == record('\xff') + record('c') + record('b') + record('a', 'y') + record('a'));
}

BOOST_AUTO_TEST_CASE(equalRecordsAreKeptAndIncompleteOnesIgnored)
{
    const std::string part = record('a') + record('a') + "short";
    const std::array<std::string_view, 2> parts{part, "rest"};
    BOOST_TEST(mergeRecords(parts, 5) == record('a') + record('a'));
    BOOST_TEST(mergeRecords({}, 5).empty());
    BOOST_TEST(mergeRecords(parts, 0).empty());
}
