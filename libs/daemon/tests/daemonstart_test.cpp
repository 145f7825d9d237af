#include "daemon/daemon.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>

namespace sassafrasvane
{

namespace
{

constexpr std::uint32_t loopback = 0x7f000001;

ProcessSettings settings()
{
    ProcessSettings settings;
    settings.callers = Address{loopback, 27421};
    settings.peers = Address{loopback, 27422};
    settings.operators = Address{loopback, 27423};
    settings.platform = Address{loopback, 27424};
    settings.failureDomain = "a";
    settings.region = "r";
    settings.peerKeys = {"key of the test fleet"};
    settings.operatorKey = "key of the operators";
    settings.logLevel = "error";
    return settings;
}

} // namespace

BOOST_AUTO_TEST_CASE(addressInUseEndsTheStartWithAnErrorThatNamesIt)
{
    const ProcessSettings wanted = settings();
    for (const Address &taken : {wanted.callers, wanted.peers, wanted.operators}) {
        boost::asio::io_context context;
        const boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::address_v4(taken.ip), taken.port);
        const boost::asio::ip::tcp::acceptor holder(context, endpoint, false);
        const Result<std::unique_ptr<Daemon>> daemon = Daemon::Builder().settings(wanted).build();
        BOOST_REQUIRE(daemon.has_error());
        BOOST_TEST((daemon.error().errc() == Errc::Unavailable));
        BOOST_TEST(daemon.error().peer == taken.toString());
    }
}

} // namespace sassafrasvane
