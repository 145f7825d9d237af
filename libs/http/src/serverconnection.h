#pragma once

#include "http/server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <array>
#include <optional>
#include <unordered_set>

/// \file
/// One connection of a client, and what all connections of a server share.

namespace sassafrasvane::http::detail
{

/// What the connections of one server share.
class ServerState : public std::enable_shared_from_this<ServerState>
{
public:
    ServerState(boost::asio::io_context &context, const ServerLimits &limits, RequestHandler handler);

    /// Opens the listener. \return the error of the step that failed.
    boost::system::error_code listen(const Address &address);

    void accept();
    void add(const std::shared_ptr<ServerConnection> &connection);
    void remove(const std::shared_ptr<ServerConnection> &connection);

    boost::asio::ip::tcp::acceptor acceptor;
    ServerLimits limits;
    RequestHandler handler;
    ServerCounters counters;
    bool isClosingAfterResponses = false;
    std::unordered_set<std::shared_ptr<ServerConnection>> connections;

private:
    void onAccepted(boost::asio::ip::tcp::socket socket);
};

/// Reads requests, hands them over one at a time, and writes the responses.
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
    ServerConnection(boost::asio::ip::tcp::socket socket, std::shared_ptr<ServerState> state);

    void start();
    void respond(Response response);
    void close();

    /// True if no request is being read or worked on.
    bool isIdle() const noexcept { return phase_ == Phase::Reading && !hasRequestBegun_; }

    /// True if a time limit has passed.
    bool isExpired(TimePoint now) const noexcept;

    Duration roundTrip() const noexcept { return roundTrip_; }
    std::uint64_t requests() const noexcept { return requests_; }

private:
    enum class Phase {
        Reading,  ///< A request is awaited or incomplete.
        Handling, ///< The handler has the request.
        Writing,  ///< The response is being written.
    };

    using Parser = beast_http::request_parser<beast_http::string_body>;

    void read();
    void onRead(const boost::system::error_code &error, std::size_t size);
    void onInputEnd();
    void beginRequest();
    void parse();
    void dispatch();
    void rejectRequest(const boost::system::error_code &error);
    void onWritten(const boost::system::error_code &error);

    boost::asio::ip::tcp::socket socket_;
    std::shared_ptr<ServerState> state_;
    /// Where a read puts its bytes. The buffer may be consumed while a read is open, so it cannot be read into.
    std::array<char, 4'096> input_;
    boost::beast::flat_buffer buffer_;
    std::optional<Parser> parser_;
    std::optional<Response> response_;
    std::weak_ptr<Exchange> exchange_;
    Phase phase_ = Phase::Reading;
    /// When the current phase of reading began.
    TimePoint phaseStartedAt_;
    Duration roundTrip_;
    /// Requests that were handed over.
    std::uint64_t requests_ = 0;
    bool hasRequestBegun_ = false;
    bool isReadPending_ = false;
    bool isKeptAlive_ = true;
    bool isClosed_ = false;
    bool isInputEnded_ = false;
};

} // namespace sassafrasvane::http::detail
