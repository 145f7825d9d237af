#pragma once

#include "base/error.h"
#include "daemon/peerlinks.h"
#include "wire/peercodec.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

/// \file
/// One TCP connection between two daemons, as a state machine over its socket.

namespace sassafrasvane::detail
{

/// What all links of a process share.
struct LinkContext {
    PeerIdentity self;
    /// The first key signs, all are accepted.
    std::vector<std::string> keys;
};

/// How a link ended.
struct LinkEnd {
    Error error;
    /// The handshake had finished, so that messages may have reached the peer.
    bool wasReady = false;
    /// Messages that provably were not sent.
    std::vector<PeerMessage> unsent;
};

class PeerLink;

/// What a link tells its owner.
struct LinkHooks {
    std::function<void(const PeerLink &link, PeerMessage message)> onMessage;
    std::function<void(const std::shared_ptr<PeerLink> &link, const LinkEnd &end)> onClosed;
};

/// A link, used on the thread of its socket only.
class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
    PeerLink(LinkId id, boost::asio::ip::tcp::socket socket, const LinkContext &context, LinkHooks hooks);

    /// Starts the handshake of the accepting side.
    void startAccepted();

    /// Connects to \p target and starts the handshake of the connecting side.
    void startConnecting(DaemonId target, const boost::asio::ip::tcp::endpoint &endpoint);

    /// Sends \p message once the handshake is done.
    void send(PeerMessage message);

    LinkId id() const noexcept { return id_; }

    /// The other side, once proved.
    const PeerIdentity &peer() const noexcept { return peer_; }

    bool isOutgoing() const noexcept { return isOutgoing_; }

    /// The daemon that an outgoing link was opened to.
    DaemonId target() const noexcept { return target_; }

private:
    void expectHandshakeInTime();
    void read();
    bool takeMessages();
    bool handle(PeerMessage message);
    bool handleHandshake(const PeerMessage &message);
    void becomeReady(const PeerIdentity &peer);
    void write(const PeerMessage &message);
    void flush();
    void close(Errc errc, Step step, const std::string &detail);
    std::string peerName() const;

    LinkId id_;
    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    const LinkContext &context_;
    LinkHooks hooks_;
    FrameReader reader_;
    std::array<char, 65536> input_;
    std::deque<std::string> output_;
    std::size_t outputSize_ = 0;
    std::size_t writing_ = 0;
    std::vector<PeerMessage> waiting_;
    std::string nonce_;
    PeerIdentity peer_;
    DaemonId target_;
    bool isOutgoing_ = false;
    bool isReady_ = false;
    bool isClosed_ = false;
};

} // namespace sassafrasvane::detail
