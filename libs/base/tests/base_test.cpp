#include "base/address.h"
#include "base/error.h"
#include "base/random.h"
#include "base/time.h"

#include <boost/test/unit_test.hpp>

namespace sassafrasvane
{

BOOST_AUTO_TEST_CASE(addressSurvivesTextAndId)
{
    const Result<Address> address = Address::parse("10.1.2.3:7001");
    BOOST_REQUIRE(address.has_value());
    BOOST_TEST(address.value().toString() == "10.1.2.3:7001");
    BOOST_TEST((peerAddress(daemonId(address.value())) == address.value()));
}

BOOST_AUTO_TEST_CASE(addressRefusesNamesAndBadPorts)
{
    for (const char *text :
         {"", "10.1.2.3", "localhost:80", "10.1.2.3:", "10.1.2.3:0", "10.1.2.3:65536", "10.1.2:1", "10.1.2.3:8x"}) {
        const Result<Address> address = Address::parse(text);
        BOOST_TEST(address.has_error(), text);
    }
}

BOOST_AUTO_TEST_CASE(errorNamesStepAndPeer)
{
    const Error error(Errc::ConnectFailed, Step::Connect, "10.0.0.7:7001", "connection refused");
    BOOST_TEST(error.message() == "connect 10.0.0.7:7001: connect_failed (connection refused)");
    BOOST_TEST((error.errc() == Errc::ConnectFailed));
    BOOST_TEST((error.code == Errc::ConnectFailed));
}

BOOST_AUTO_TEST_CASE(randomRepeatsBySeedAndStaysInBounds)
{
    Random first(7);
    Random second(7);
    for (int i = 0; i < 1000; ++i) {
        const std::uint64_t value = first.below(13);
        BOOST_TEST(value == second.below(13));
        BOOST_TEST(value < 13U);
        const double unit = first.unit();
        BOOST_TEST(unit == second.unit());
        BOOST_TEST((unit >= 0.0 && unit < 1.0));
    }
}

BOOST_AUTO_TEST_CASE(bootClockNeverGoesBack)
{
    const TimePoint before = BootClock::now();
    BOOST_TEST((BootClock::now() >= before));
    BOOST_TEST(toMilliseconds(fromMilliseconds(2.5)) == 2.5);
}

} // namespace sassafrasvane
