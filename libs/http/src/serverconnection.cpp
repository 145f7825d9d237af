#include "serverconnection.h"

#include "headermemory.h"
#include "socketoptions.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <iterator>
#include <sstream>

namespace sassafrasvane::http::detail
{

namespace
{

/// Reading pauses when this many bytes of further requests are buffered while one is being handled: reading goes on
/// only to detect that the client leaves.
constexpr std::size_t maxPipelinedBytes = 16'384;

/// A request whose body is larger may be refused from its head. A smaller body is read even if nobody needs it: the
/// connection then stays open for the next request.
constexpr std::uint64_t maxUnneededBodyBytes = 16'384;

/// A buffer without content that is larger than this is freed.
constexpr std::size_t maxIdleBufferBytes = 8'192;

/// A client that sends fewer bytes makes no progress.
constexpr std::size_t minProgressBytes = 1'024;

/// After its last response, a connection is closed when the client has sent this many more bytes, or after this time.
/// Closing it at once would make the system drop the response if the client is still sending.
constexpr std::size_t maxDiscardedBytes = 524'288;
constexpr Duration drainTimeout = std::chrono::seconds(1);

constexpr unsigned notImplemented = 501;
constexpr unsigned unavailable = 503;

/// The status for a request that the parser rejected with \p error.
unsigned statusOf(const boost::system::error_code &error)
{
    if (error == beast_http::error::header_limit) {
        return 431;
    }
    if (error == beast_http::error::body_limit) {
        return 413;
    }
    return 400;
}

/// True if the body of the request has transfer codings other than "chunked" alone: its end or its meaning is not
/// known.
bool hasUnknownCoding(const Headers &headers)
{
    const auto [begin, end] = headers.equal_range(beast_http::field::transfer_encoding);
    return std::distance(begin, end) > 1
        || std::any_of(begin, end, [](const auto &field) { return !boost::beast::iequals(field.value(), "chunked"); });
}

} // namespace

ServerConnection::ServerConnection(boost::asio::ip::tcp::socket socket, std::shared_ptr<ServerState> state)
    : socket_(std::move(socket))
    , state_(std::move(state))
    , lease_(state_->memory)
    , phaseStartedAt_(BootClock::now())
    , progressAt_(phaseStartedAt_)
{
    setOptions(socket_);
    roundTrip_ = roundTripOf(socket_);
}

void ServerConnection::start()
{
    beginRequest();
    read();
}

void ServerConnection::beginRequest()
{
    parser_.emplace();
    parser_->eager(true);
    headBytes_ = 0;
    isHeadFiltered_ = false;
    phase_ = Phase::Reading;
    hasRequestBegun_ = false;
    phaseStartedAt_ = BootClock::now();
    progressAt_ = phaseStartedAt_;
    unratedBytes_ = 0;
    if (buffer_.size() == 0 && buffer_.capacity() > maxIdleBufferBytes) {
        buffer_.shrink_to_fit();
    }
}

void ServerConnection::read()
{
    const bool isPaused = phase_ != Phase::Reading && !isDiscarding_ && buffer_.size() >= maxPipelinedBytes;
    if (isReadPending_ || isClosed_ || isInputEnded_ || isPaused) {
        return;
    }
    isReadPending_ = true;
    socket_.async_read_some(boost::asio::buffer(input_),
                            [self = shared_from_this()](const boost::system::error_code &error, std::size_t size) {
                                self->onRead(error, size);
                            });
}

void ServerConnection::onRead(const boost::system::error_code &error, std::size_t size)
{
    isReadPending_ = false;
    if (isClosed_) {
        return;
    }
    if (error) {
        isInputEnded_ = true;
        onInputEnd();
        return;
    }
    if (isDiscarding_) {
        discard(size);
        return;
    }
    unratedBytes_ += size;
    if (phase_ == Phase::Reading && unratedBytes_ >= minProgressBytes) {
        progressAt_ = BootClock::now();
        unratedBytes_ = 0;
    }
    buffer_.commit(boost::asio::buffer_copy(buffer_.prepare(size), boost::asio::buffer(input_, size)));
    if (phase_ == Phase::Reading) {
        parse();
    }
    if (!account()) {
        refuse(state_->hooks.overloadResponse ? state_->hooks.overloadResponse() : emptyResponse(unavailable));
    }
    read();
}

void ServerConnection::discard(std::size_t size)
{
    discardedBytes_ += size;
    if (discardedBytes_ > maxDiscardedBytes && phase_ == Phase::Draining) {
        close();
    } else if (discardedBytes_ <= maxDiscardedBytes) {
        read();
    }
}

// The client has closed the connection or shut down its sending side. Either way it is assumed to wait for no
// response.
void ServerConnection::onInputEnd()
{
    if (const std::shared_ptr<Exchange> exchange = exchange_.lock(); exchange && phase_ == Phase::Handling) {
        exchange->abandon();
    }
    if (phase_ != Phase::Writing) {
        close();
    }
}

void ServerConnection::parse()
{
    while (phase_ == Phase::Reading && buffer_.size() > 0) {
        if (!hasRequestBegun_) {
            hasRequestBegun_ = true;
            phaseStartedAt_ = BootClock::now();
            progressAt_ = phaseStartedAt_;
            // The limits may have changed while the connection was idle.
            parser_->header_limit(state_->limits.headerBytes);
            parser_->body_limit(state_->limits.bodyBytes);
        }
        const bool hadHeader = parser_->is_header_done();
        boost::system::error_code error;
        const boost::asio::const_buffer bytes = buffer_.data();
        const std::size_t used = parser_->put(bytes, error);
        if (!hadHeader) {
            countHead({static_cast<const char *>(bytes.data()), used});
        }
        buffer_.consume(used);
        if (error && error != beast_http::error::need_more) {
            rejectRequest(statusOf(error));
            return;
        }
        if (!hadHeader && parser_->is_header_done()) {
            phaseStartedAt_ = BootClock::now();
            if (hasUnknownCoding(parser_->get())) {
                rejectRequest(notImplemented);
                return;
            }
        }
        if (!filterHead()) {
            return;
        }
        if (parser_->is_done()) {
            // The trailers have become fields of the request.
            headBytes_ = parser_->chunked() ? memoryOf(parser_->get()) : headBytes_;
            dispatch();
            return;
        }
        if (used == 0) {
            rejectEndlessLine();
            return;
        }
    }
}

// After the head, only a chunk header or a trailer section waits for its end. Trailers are bounded as the head is.
void ServerConnection::rejectEndlessLine()
{
    if (parser_->is_header_done() && buffer_.size() > state_->limits.headerBytes) {
        rejectRequest(statusOf(beast_http::error::header_limit));
    }
}

// Before the head is complete, its fields are counted by their line ends: the parser has stored them already.
void ServerConnection::countHead(std::string_view parsed)
{
    if (parser_->is_header_done()) {
        headBytes_ = memoryOf(parser_->get());
    } else {
        const std::ptrdiff_t lines = std::count(parsed.begin(), parsed.end(), '\n');
        headBytes_ += parsed.size() + static_cast<std::size_t>(lines) * fieldOverheadBytes;
    }
}

// Returns false if the request has been refused.
bool ServerConnection::filterHead()
{
    if (isHeadFiltered_ || !state_->hooks.filterHead || !parser_->is_header_done() || parser_->is_done()) {
        return true;
    }
    const std::uint64_t bodySize = parser_->content_length().value_or(parser_->get().body().size());
    if (bodySize <= maxUnneededBodyBytes) {
        return true;
    }
    isHeadFiltered_ = true;
    if (std::optional<Response> refusal = state_->hooks.filterHead(parser_->get())) {
        ++state_->counters.refusedHeads;
        refuse(std::move(*refusal));
        return false;
    }
    return true;
}

std::size_t ServerConnection::neededBytes() const noexcept
{
    std::size_t size = buffer_.capacity();
    if (phase_ == Phase::Reading && parser_) {
        size += headBytes_ + (parser_->is_header_done() ? parser_->get().body().capacity() : 0);
    }
    // While reading is paused, the system keeps what the client sends.
    if (phase_ != Phase::Reading && buffer_.size() >= maxPipelinedBytes) {
        size += socketBufferBytes();
    }
    if (phase_ == Phase::Writing && response_) {
        const std::size_t body = response_->body().size();
        size += response_->body().capacity() + (isStalled_ ? socketBufferBytes() : std::min(body, socketBufferBytes()));
    }
    return size;
}

bool ServerConnection::account()
{
    if (isClosed_) {
        return true;
    }
    const TimePoint now = BootClock::now();
    if (phase_ == Phase::Reading) {
        return lease_.resize(now, neededBytes(), this);
    }
    lease_.charge(now, neededBytes(), this);
    return true;
}

void ServerConnection::dispatch()
{
    isKeptAlive_ = parser_->keep_alive();
    if (!account()) {
        refuse(state_->hooks.overloadResponse ? state_->hooks.overloadResponse() : emptyResponse(unavailable));
        return;
    }
    phase_ = Phase::Handling;
    ++requests_;
    const std::shared_ptr<Exchange> exchange
        = std::make_shared<Exchange>(shared_from_this(),
                                     parser_->release(),
                                     lease_.split(lease_.held() - std::min(lease_.held(), buffer_.capacity())),
                                     BootClock::now());
    parser_.reset();
    exchange_ = exchange;
    state_->hooks.handler(exchange);
}

void ServerConnection::rejectRequest(unsigned status)
{
    ++state_->counters.malformedRequests;
    refuse(emptyResponse(status));
}

void ServerConnection::refuse(Response response)
{
    parser_.reset();
    buffer_.consume(buffer_.size());
    buffer_.shrink_to_fit();
    isDiscarding_ = true;
    isKeptAlive_ = false;
    phase_ = Phase::Handling;
    respond(std::move(response));
}

void ServerConnection::respond(Response response)
{
    if (isClosed_ || phase_ != Phase::Handling) {
        return;
    }
    phase_ = Phase::Writing;
    progressAt_ = BootClock::now();
    isKeptAlive_ = isKeptAlive_ && !state_->isClosingAfterResponses;
    response.version(11);
    response.keep_alive(isKeptAlive_);
    response_.emplace(std::move(response));
    serializer_.emplace(*response_);
    account();
    write();
}

void ServerConnection::write()
{
    beast_http::async_write_some(
        socket_, *serializer_, [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
            self->onWritten(error);
        });
}

void ServerConnection::onWritten(const boost::system::error_code &error)
{
    if (isClosed_) {
        return;
    }
    if (error) {
        close();
        return;
    }
    progressAt_ = BootClock::now();
    isStalled_ = false;
    if (serializer_->is_done()) {
        onResponseWritten();
    } else {
        write();
    }
}

void ServerConnection::onResponseWritten()
{
    serializer_.reset();
    response_.reset();
    if (isInputEnded_ || (!isKeptAlive_ && !isDiscarding_)) {
        close();
        return;
    }
    if (!isKeptAlive_) {
        boost::system::error_code ignored;
        socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
        phase_ = Phase::Draining;
        phaseStartedAt_ = BootClock::now();
        account();
        discard(0);
        return;
    }
    beginRequest();
    parse();
    if (!account()) {
        refuse(state_->hooks.overloadResponse ? state_->hooks.overloadResponse() : emptyResponse(unavailable));
    }
    read();
}

bool ServerConnection::isExpired(TimePoint now) const noexcept
{
    switch (phase_) {
    case Phase::Reading:
        return now - phaseStartedAt_ > (hasRequestBegun_ ? state_->limits.headerTimeout : state_->limits.idleTimeout);
    case Phase::Handling:
        return false;
    case Phase::Writing:
        return now - progressAt_ > state_->limits.writeTimeout;
    case Phase::Draining:
        return now - phaseStartedAt_ > drainTimeout;
    }
    return false;
}

bool ServerConnection::isNewlyStalled(TimePoint now) const noexcept
{
    return phase_ == Phase::Writing && !isStalled_ && now - progressAt_ > RequestMemory::minMemoryWait();
}

// The buffer may be full of earlier responses to pipelined requests, however small the last one is.
void ServerConnection::accountStall()
{
    if (phase_ == Phase::Writing) {
        isStalled_ = true;
        account();
    }
}

std::optional<TimePoint> ServerConnection::waitingSince() const noexcept
{
    switch (phase_) {
    case Phase::Reading:
    case Phase::Writing:
        return progressAt_;
    case Phase::Handling:
        break;
    case Phase::Draining:
        return phaseStartedAt_;
    }
    return std::nullopt;
}

void ServerConnection::shed(ShedReason reason)
{
    const std::shared_ptr<ServerConnection> self = shared_from_this();
    boost::system::error_code ignored;
    if (phase_ == Phase::Reading && hasRequestBegun_) {
        // The request has not run. The response is sent only if the system takes it at once.
        Response response
            = state_->hooks.overloadResponse ? state_->hooks.overloadResponse() : emptyResponse(unavailable);
        response.version(11);
        response.keep_alive(false);
        std::ostringstream text;
        text << response;
        socket_.non_blocking(true, ignored);
        socket_.write_some(boost::asio::buffer(text.str()), ignored);
    } else if (phase_ == Phase::Writing && reason == ShedReason::Memory) {
        // The system would keep the rest of the response for a client that does not read it.
        socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    }
    close();
}

void ServerConnection::close()
{
    if (isClosed_) {
        return;
    }
    isClosed_ = true;
    boost::system::error_code ignored;
    socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
    buffer_.clear();
    buffer_.shrink_to_fit();
    parser_.reset();
    lease_ = RequestLease();
    state_->remove(shared_from_this());
}

} // namespace sassafrasvane::http::detail
