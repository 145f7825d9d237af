#include "daemon/peerlinks.h"

#include "base/address.h"

#include <boost/test/unit_test.hpp>

#include <condition_variable>
#include <mutex>
#include <optional>

namespace sassafrasvane
{

namespace
{

const std::string fleetKey = "key of this fleet";
const std::string foreignKey = "key of another fleet";

/// One side of a link that records what it is told.
struct Side {
    std::mutex mutex;
    std::condition_variable changed;
    std::vector<std::pair<LinkId, PeerMessage>> messages;
    std::vector<Errc> errors;
    int unsent = 0;
    int lost = 0;
    std::unique_ptr<PeerLinks> links;

    Side(const PeerIdentity &identity, const std::string &key)
    {
        PeerLinkHooks hooks;
        hooks.onMessage = [this](LinkId link, DaemonId, PeerMessage message) {
            note([&] { messages.emplace_back(link, std::move(message)); });
        };
        hooks.onUnsent = [this](DaemonId, const PeerMessage &) { note([&] { ++unsent; }); };
        hooks.onLost = [this](DaemonId) { note([&] { ++lost; }); };
        hooks.onError = [this](const Error &error) { note([&] { errors.push_back(error.errc()); }); };
        links = std::move(PeerLinks::Builder().identity(identity).keys({key}).hooks(hooks).build().value());
        links->run();
    }

    template<typename Change>
    void note(Change change)
    {
        const std::lock_guard<std::mutex> lock(mutex);
        change();
        changed.notify_all();
    }

    template<typename Condition>
    void waitFor(Condition condition)
    {
        std::unique_lock<std::mutex> lock(mutex);
        changed.wait(lock, condition);
    }
};

PeerIdentity identity(std::uint16_t port)
{
    return {daemonId(Address{0x7f000001, port}), Incarnation{port}};
}

constexpr std::uint16_t firstPort = 27411;
constexpr std::uint16_t secondPort = 27412;
constexpr std::uint16_t closedPort = 27413;

LeafRequest request()
{
    LeafRequest message;
    message.query = QueryId{5};
    message.payload = "lanes";
    return message;
}

} // namespace

BOOST_AUTO_TEST_CASE(requestAndReplyShareALink)
{
    Side entry(identity(firstPort), fleetKey);
    Side leaf(identity(secondPort), fleetKey);
    entry.links->send(identity(secondPort).daemon, request());
    leaf.waitFor([&] { return leaf.messages.size() == 1; });
    BOOST_TEST(std::get<LeafRequest>(leaf.messages[0].second).payload == "lanes");
    LeafReply reply;
    reply.query = QueryId{5};
    leaf.links->reply(leaf.messages[0].first, reply);
    entry.waitFor([&] { return entry.messages.size() == 1; });
    BOOST_TEST((std::get<LeafReply>(entry.messages[0].second).query == QueryId{5}));
    leaf.links->stop();
    leaf.links.reset();
    entry.waitFor([&] { return entry.lost == 1; });
}

BOOST_AUTO_TEST_CASE(foreignDaemonIsRefusedAndItsMessageReturned)
{
    Side entry(identity(firstPort), foreignKey);
    Side leaf(identity(secondPort), fleetKey);
    entry.links->send(identity(secondPort).daemon, request());
    entry.waitFor([&] { return entry.unsent == 1; });
    leaf.waitFor([&] { return !leaf.errors.empty(); });
    BOOST_TEST((leaf.errors[0] == Errc::NotAuthentic));
    BOOST_TEST(leaf.messages.empty());
}

BOOST_AUTO_TEST_CASE(messageToAnAbsentDaemonIsReturnedUnsent)
{
    Side entry(identity(firstPort), fleetKey);
    entry.links->send(identity(closedPort).daemon, request());
    entry.links->send(identity(closedPort).daemon, request());
    entry.waitFor([&] { return entry.unsent == 2; });
    BOOST_TEST(entry.lost == 0);
}

} // namespace sassafrasvane
