#pragma once

#include "http/server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>

#include <array>
#include <optional>
#include <unordered_set>

/// \file
/// The server side of one client connection, and the state that all connections of a server share.

namespace sassafrasvane::http::detail
{

/// State shared by a Server and its connections, which keep it alive.
class ServerState : public std::enable_shared_from_this<ServerState>
{
public:
    ServerState(boost::asio::io_context &context, const ServerLimits &limits, ServerHooks hooks);

    /// Opens the listener. \return the error of the system call that failed, or no error.
    boost::system::error_code listen(const Address &address);

    /// Accepts connections until the listener is closed.
    void accept();
    /// Accepts the connections that the system has queued.
    void acceptPending();
    void add(const std::shared_ptr<ServerConnection> &connection);
    void remove(const std::shared_ptr<ServerConnection> &connection);

    boost::asio::ip::tcp::acceptor acceptor;
    /// Runs while no connection can be accepted.
    boost::asio::steady_timer acceptTimer;
    ServerLimits limits;
    ServerHooks hooks;
    std::shared_ptr<RequestMemory> memory;
    ServerCounters counters;
    bool isClosingAfterResponses = false;
    std::unordered_set<std::shared_ptr<ServerConnection>> connections;

private:
    void onAccepted(boost::asio::ip::tcp::socket socket);
    bool hasRoom();
    void acceptLater();
};

/// Reads requests, passes them to the handler one at a time, and writes the responses.
class ServerConnection final : public RequestHolder, public std::enable_shared_from_this<ServerConnection>
{
public:
    ServerConnection(boost::asio::ip::tcp::socket socket, std::shared_ptr<ServerState> state);

    void start();
    void respond(Response response);
    void close();

    /// True if no request is being read, handled or answered.
    bool isIdle() const noexcept
    {
        return phase_ == Phase::Draining || (phase_ == Phase::Reading && !hasRequestBegun_);
    }

    /// True if the idle timeout or the timeout of the current request has passed.
    bool isExpired(TimePoint now) const noexcept;

    /// True if the client takes nothing of its response, so that the system's buffer is full, and that is not accounted
    /// for yet.
    bool isNewlyStalled(TimePoint now) const noexcept;
    void accountStall();

    Duration roundTrip() const noexcept { return roundTrip_; }
    /// Number of requests passed to the handler.
    std::uint64_t requests() const noexcept { return requests_; }

    std::size_t heldBytes() const noexcept override { return lease_.held(); }
    std::optional<TimePoint> waitingSince() const noexcept override;
    bool hasBeenServed() const noexcept override { return requests_ > 0; }
    void shed(ShedReason reason) override;

private:
    enum class Phase {
        Reading,  ///< Waiting for a request, or reading one.
        Handling, ///< The handler has the request.
        Writing,  ///< The response is being written.
        Draining, ///< The last response is written. What the client still sends is discarded until it closes.
    };

    using Parser = beast_http::request_parser<beast_http::string_body>;
    using Serializer = beast_http::response_serializer<beast_http::string_body>;

    void read();
    void onRead(const boost::system::error_code &error, std::size_t size);
    void discard(std::size_t size);
    void onInputEnd();
    void beginRequest();
    void parse();
    /// Adds the memory of the fields in \p parsed, which the parser has just taken.
    void countHead(std::string_view parsed);
    bool filterHead();
    /// Rejects a request of which more waits to be parsed than a head may have.
    void rejectEndlessLine();
    void dispatch();
    std::size_t neededBytes() const noexcept;
    /// Adjusts the lease to what is held. \return false if a request that is being read may not grow so far.
    bool account();
    /// Answers a request that the parser has rejected, and closes the connection.
    void rejectRequest(unsigned status);
    /// Answers a request that is not passed to the handler, and closes the connection.
    void refuse(Response response);
    void write();
    void onWritten(const boost::system::error_code &error);
    void onResponseWritten();

    boost::asio::ip::tcp::socket socket_;
    std::shared_ptr<ServerState> state_;
    /// Target of the pending read. Reading directly into buffer_ is not possible: it is consumed while a read is
    /// pending.
    std::array<char, 4'096> input_;
    boost::beast::flat_buffer buffer_;
    std::optional<Parser> parser_;
    std::optional<Response> response_;
    std::optional<Serializer> serializer_;
    std::weak_ptr<Exchange> exchange_;
    RequestLease lease_;
    Phase phase_ = Phase::Reading;
    /// Start of the current wait: for the first byte of a request, for the rest of its headers, or for its body.
    TimePoint phaseStartedAt_;
    /// When the client last sent minProgressBytes or took a part of the response.
    TimePoint progressAt_;
    /// Bytes that the client has sent since progressAt_.
    std::size_t unratedBytes_ = 0;
    /// Memory of the head of the current request.
    std::size_t headBytes_ = 0;
    std::size_t discardedBytes_ = 0;
    Duration roundTrip_;
    std::uint64_t requests_ = 0;
    bool hasRequestBegun_ = false;
    bool isHeadFiltered_ = false;
    bool isReadPending_ = false;
    bool isKeptAlive_ = true;
    /// True while the buffer of the system counts as full of responses.
    bool isStalled_ = false;
    bool isClosed_ = false;
    bool isInputEnded_ = false;
    /// True once the rest of the input is of no use.
    bool isDiscarding_ = false;
};

} // namespace sassafrasvane::http::detail
