#include "peerlink.h"

#include "base/address.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

namespace sassafrasvane::detail
{

namespace
{

using boost::asio::ip::tcp;
using namespace std::chrono_literals;

/// Time within which a link must be connected and proved.
constexpr std::chrono::milliseconds handshakeTime = 1s;
/// Bytes that may wait to be sent on one link before it is given up.
constexpr std::size_t maxOutput = std::size_t{64} * 1024 * 1024;
/// Messages that may wait for a handshake.
constexpr std::size_t maxWaiting = 4096;

constexpr const char *helloRole = "hello";
constexpr const char *welcomeRole = "welcome";

} // namespace

PeerLink::PeerLink(LinkId id, tcp::socket socket, const LinkContext &context, LinkHooks hooks)
    : id_(id)
    , socket_(std::move(socket))
    , timer_(socket_.get_executor())
    , context_(context)
    , hooks_(std::move(hooks))
    , nonce_(makeNonce())
{
}

void PeerLink::startAccepted()
{
    boost::system::error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    expectHandshakeInTime();
    write(PeerChallenge{nonce_});
    read();
}

void PeerLink::startConnecting(DaemonId target, const tcp::endpoint &endpoint)
{
    isOutgoing_ = true;
    target_ = target;
    expectHandshakeInTime();
    socket_.async_connect(endpoint, [self = shared_from_this()](const boost::system::error_code &error) {
        if (error) {
            self->close(Errc::ConnectFailed, Step::Connect, error.message());
            return;
        }
        boost::system::error_code ignored;
        self->socket_.set_option(tcp::no_delay(true), ignored);
        self->read();
    });
}

void PeerLink::expectHandshakeInTime()
{
    timer_.expires_after(handshakeTime);
    timer_.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (!error && !self->isReady_) {
            self->close(Errc::Timeout, Step::Connect, "no handshake in time");
        }
    });
}

void PeerLink::send(PeerMessage message)
{
    if (isReady_) {
        write(message);
        return;
    }
    waiting_.push_back(std::move(message));
    if (waiting_.size() > maxWaiting) {
        close(Errc::Overloaded, Step::Connect, "too many messages wait for the handshake");
    }
}

void PeerLink::read()
{
    socket_.async_read_some(boost::asio::buffer(input_),
                            [self = shared_from_this()](const boost::system::error_code &error, std::size_t size) {
                                if (self->isClosed_) {
                                    return;
                                }
                                if (error) {
                                    self->close(Errc::ConnectionLost, Step::Receive, error.message());
                                    return;
                                }
                                self->reader_.append({self->input_.data(), size});
                                if (self->takeMessages()) {
                                    self->read();
                                }
                            });
}

// Returns false once the link is closed.
bool PeerLink::takeMessages()
{
    while (std::optional<Result<PeerMessage>> message = reader_.next(isReady_ ? maxFrameSize : maxHandshakeFrameSize)) {
        if (message->has_error()) {
            close(Errc::BadMessage, Step::Receive, message->error().detail);
            return false;
        }
        if (!handle(std::move(message->value()))) {
            return false;
        }
    }
    return true;
}

bool PeerLink::handle(PeerMessage message)
{
    if (!isReady_) {
        return handleHandshake(message);
    }
    hooks_.onMessage(*this, std::move(message));
    return !isClosed_;
}

bool PeerLink::handleHandshake(const PeerMessage &message)
{
    if (const PeerChallenge *challenge = std::get_if<PeerChallenge>(&message); challenge != nullptr && isOutgoing_) {
        const PeerIdentity &self = context_.self;
        write(PeerHello{self.daemon,
                        self.incarnation,
                        nonce_,
                        peerDigest(context_.keys.front(), helloRole, self, challenge->nonce)});
        return true;
    }
    if (const PeerHello *hello = std::get_if<PeerHello>(&message); hello != nullptr && !isOutgoing_) {
        const PeerIdentity peer{hello->daemon, hello->incarnation};
        if (!isPeerDigestValid(context_.keys, helloRole, peer, nonce_, hello->digest)) {
            close(Errc::NotAuthentic, Step::Connect, "the hello carries no valid digest");
            return false;
        }
        const PeerIdentity &self = context_.self;
        write(PeerWelcome{
            self.daemon, self.incarnation, peerDigest(context_.keys.front(), welcomeRole, self, hello->nonce)});
        becomeReady(peer);
        return true;
    }
    if (const PeerWelcome *welcome = std::get_if<PeerWelcome>(&message); welcome != nullptr && isOutgoing_) {
        const PeerIdentity peer{welcome->daemon, welcome->incarnation};
        if (peer.daemon != target_ || !isPeerDigestValid(context_.keys, welcomeRole, peer, nonce_, welcome->digest)) {
            close(Errc::NotAuthentic, Step::Connect, "the welcome carries no valid digest of the daemon asked for");
            return false;
        }
        becomeReady(peer);
        return true;
    }
    close(Errc::BadMessage, Step::Connect, "a message out of order in the handshake");
    return false;
}

void PeerLink::becomeReady(const PeerIdentity &peer)
{
    peer_ = peer;
    isReady_ = true;
    timer_.cancel();
    for (const PeerMessage &message : waiting_) {
        write(message);
    }
    waiting_.clear();
}

void PeerLink::write(const PeerMessage &message)
{
    if (isClosed_) {
        return;
    }
    output_.push_back(encodeFrame(message));
    outputSize_ += output_.back().size();
    if (outputSize_ > maxOutput) {
        close(Errc::Overloaded, Step::Send, "the peer reads too slowly");
        return;
    }
    if (writing_ == 0) {
        flush();
    }
}

// Writes everything that waits in one call, which keeps the number of system calls low under load.
void PeerLink::flush()
{
    std::vector<boost::asio::const_buffer> buffers;
    buffers.reserve(output_.size());
    for (const std::string &frame : output_) {
        buffers.emplace_back(frame.data(), frame.size());
    }
    writing_ = output_.size();
    boost::asio::async_write(
        socket_, buffers, [self = shared_from_this()](const boost::system::error_code &error, std::size_t size) {
            if (self->isClosed_) {
                return;
            }
            if (error) {
                self->close(Errc::ConnectionLost, Step::Send, error.message());
                return;
            }
            self->outputSize_ -= size;
            self->output_.erase(self->output_.begin(),
                                self->output_.begin() + static_cast<std::ptrdiff_t>(self->writing_));
            self->writing_ = 0;
            if (!self->output_.empty()) {
                self->flush();
            }
        });
}

void PeerLink::close(Errc errc, Step step, const std::string &detail)
{
    if (isClosed_) {
        return;
    }
    isClosed_ = true;
    timer_.cancel();
    const std::string peer = peerName();
    boost::system::error_code ignored;
    socket_.close(ignored);
    hooks_.onClosed(shared_from_this(), LinkEnd{Error(errc, step, peer, detail), isReady_, std::move(waiting_)});
}

std::string PeerLink::peerName() const
{
    if (isReady_) {
        return peerAddress(peer_.daemon).toString();
    }
    if (isOutgoing_) {
        return peerAddress(target_).toString();
    }
    boost::system::error_code error;
    const tcp::endpoint endpoint = socket_.remote_endpoint(error);
    return error ? std::string() : endpoint.address().to_string() + ':' + std::to_string(endpoint.port());
}

} // namespace sassafrasvane::detail
