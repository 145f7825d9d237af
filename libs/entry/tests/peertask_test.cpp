#include "entry/peertask.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/test/unit_test.hpp>

#include <fcntl.h>

/// \file
/// Two PeerTasks on loopback addresses.

namespace sassafrasvane
{

namespace
{

/// A port that is free at the moment.
std::uint16_t freePort(boost::asio::io_context &context)
{
    using boost::asio::ip::udp;
    const udp::socket socket(context, udp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    return socket.local_endpoint().port();
}

} // namespace

// Guards against reports that are sent to nobody, or counted for another VM than their sender.
BOOST_AUTO_TEST_CASE(quotaReportsReachTheirRecipientsUnderTheSendersName)
{
    boost::asio::io_context context;
    EventLog log(::open("/dev/null", O_WRONLY | O_CLOEXEC), "test");
    EntryIdentity first;
    first.peer = {0x7f000001, freePort(context)};
    first.key = "key";
    EntryIdentity second = first;
    second.peer.port = freePort(context);
    const std::unique_ptr<PeerTask> sender = std::move(PeerTask::create(context, first, log).value());
    const std::unique_ptr<PeerTask> receiver = std::move(PeerTask::create(context, second, log).value());
    const QuotaReport report{7, 1, wholeQuotaPermille, 2, false, {{1, 2, 3, 4, 5}}};
    std::vector<std::pair<DaemonId, QuotaReport>> received;
    sender->setQuotaHooks([](DaemonId, const QuotaReport &) {},
                          [&report] { return std::vector<QuotaReport>{report}; },
                          [&second] { return std::vector<DaemonId>{daemonId(second.peer)}; });
    receiver->setQuotaHooks(
        [&received](DaemonId from, const QuotaReport &taken) { received.emplace_back(from, taken); },
        [] { return std::vector<QuotaReport>(); },
        [] { return std::vector<DaemonId>(); });
    receiver->start();
    sender->onTick(BootClock::now());
    const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (received.empty() && std::chrono::steady_clock::now() < end) {
        context.run_one_for(std::chrono::milliseconds(100));
    }
    BOOST_REQUIRE(received.size() == 1U);
    BOOST_TEST((received.front().first == daemonId(first.peer)));
    BOOST_TEST((received.front().second == report));
}

} // namespace sassafrasvane
