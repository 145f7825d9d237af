#include "daemon/peerlinks.h"

#include "base/address.h"
#include "daemon/eventloop.h"
#include "peerlink.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>

#include <unordered_map>

namespace sassafrasvane
{

namespace
{

using boost::asio::ip::tcp;
using namespace std::chrono_literals;

/// After a failed attempt to connect, messages to that daemon are returned unsent for this long.
constexpr Duration reconnectPause = 100ms;

tcp::endpoint endpointOf(const Address &address)
{
    return {boost::asio::ip::address_v4(address.ip), address.port};
}

} // namespace

struct PeerLinks::Implementation {
    EventLoop loop{"peers"};
    detail::LinkContext context;
    PeerLinkHooks hooks;
    tcp::acceptor acceptor{loop.context()};
    std::unordered_map<DaemonId, std::shared_ptr<detail::PeerLink>> outgoing;
    std::unordered_map<LinkId, std::shared_ptr<detail::PeerLink>> links;
    std::unordered_map<DaemonId, TimePoint> pausedUntil;
    std::uint64_t lastLink = 0;

    void accept();
    void adopt(const std::shared_ptr<detail::PeerLink> &link);
    void send(DaemonId to, PeerMessage message);
    std::shared_ptr<detail::PeerLink> connect(DaemonId to);
    void onClosed(const std::shared_ptr<detail::PeerLink> &link, const detail::LinkEnd &end);
    detail::LinkHooks linkHooks();
};

detail::LinkHooks PeerLinks::Implementation::linkHooks()
{
    detail::LinkHooks linkHooks;
    linkHooks.onMessage = [this](const detail::PeerLink &link, PeerMessage message) {
        hooks.onMessage(link.id(), link.peer().daemon, std::move(message));
    };
    linkHooks.onClosed
        = [this](const std::shared_ptr<detail::PeerLink> &link, const detail::LinkEnd &end) { onClosed(link, end); };
    return linkHooks;
}

void PeerLinks::Implementation::accept()
{
    acceptor.async_accept([this](const boost::system::error_code &error, tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted) {
            return;
        }
        if (!error) {
            const auto link
                = std::make_shared<detail::PeerLink>(LinkId{++lastLink}, std::move(socket), context, linkHooks());
            adopt(link);
            link->startAccepted();
        }
        accept();
    });
}

void PeerLinks::Implementation::adopt(const std::shared_ptr<detail::PeerLink> &link)
{
    links[link->id()] = link;
}

void PeerLinks::Implementation::send(DaemonId to, PeerMessage message)
{
    const auto found = outgoing.find(to);
    if (found != outgoing.end()) {
        found->second->send(std::move(message));
        return;
    }
    const auto paused = pausedUntil.find(to);
    if (paused != pausedUntil.end() && BootClock::now() < paused->second) {
        hooks.onUnsent(to, std::move(message));
        return;
    }
    connect(to)->send(std::move(message));
}

std::shared_ptr<detail::PeerLink> PeerLinks::Implementation::connect(DaemonId to)
{
    std::shared_ptr<detail::PeerLink> link
        = std::make_shared<detail::PeerLink>(LinkId{++lastLink}, tcp::socket(loop.context()), context, linkHooks());
    adopt(link);
    outgoing[to] = link;
    link->startConnecting(to, endpointOf(peerAddress(to)));
    return link;
}

void PeerLinks::Implementation::onClosed(const std::shared_ptr<detail::PeerLink> &link, const detail::LinkEnd &end)
{
    links.erase(link->id());
    hooks.onError(end.error);
    if (!link->isOutgoing()) {
        return;
    }
    const DaemonId to = link->target();
    const auto found = outgoing.find(to);
    if (found != outgoing.end() && found->second == link) {
        outgoing.erase(found);
    }
    if (!end.wasReady) {
        pausedUntil[to] = BootClock::now() + reconnectPause;
    }
    for (const PeerMessage &message : end.unsent) {
        hooks.onUnsent(to, message);
    }
    if (end.wasReady) {
        hooks.onLost(to);
    }
}

PeerLinks::PeerLinks(std::unique_ptr<Implementation> implementation) : implementation_(std::move(implementation))
{
}

PeerLinks::~PeerLinks()
{
    stop();
}

void PeerLinks::run()
{
    implementation_->loop.post([implementation = implementation_.get()] { implementation->accept(); });
}

void PeerLinks::send(DaemonId to, PeerMessage message)
{
    implementation_->loop.post([implementation = implementation_.get(), to, message = std::move(message)]() mutable {
        implementation->send(to, std::move(message));
    });
}

void PeerLinks::reply(LinkId link, PeerMessage message)
{
    implementation_->loop.post([implementation = implementation_.get(), link, message = std::move(message)]() mutable {
        const auto found = implementation->links.find(link);
        if (found != implementation->links.end()) {
            found->second->send(std::move(message));
        }
    });
}

void PeerLinks::stop()
{
    implementation_->loop.stop();
}

PeerLinks::Builder &PeerLinks::Builder::identity(const PeerIdentity &identity) noexcept
{
    identity_ = identity;
    return *this;
}

PeerLinks::Builder &PeerLinks::Builder::keys(std::vector<std::string> keys)
{
    keys_ = std::move(keys);
    return *this;
}

PeerLinks::Builder &PeerLinks::Builder::hooks(PeerLinkHooks hooks)
{
    hooks_ = std::move(hooks);
    return *this;
}

Result<std::unique_ptr<PeerLinks>> PeerLinks::Builder::build()
{
    auto implementation = std::make_unique<Implementation>();
    implementation->context = {identity_, std::move(keys_)};
    implementation->hooks = std::move(hooks_);
    const Address address = peerAddress(identity_.daemon);
    tcp::acceptor &acceptor = implementation->acceptor;
    boost::system::error_code error;
    acceptor.open(tcp::v4(), error);
    if (!error) {
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
        acceptor.bind(endpointOf(address), error);
    }
    if (!error) {
        acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return Error{Errc::Unavailable, Step::Accept, address.toString(), error.message()};
    }
    return std::unique_ptr<PeerLinks>(new PeerLinks(std::move(implementation)));
}

} // namespace sassafrasvane
