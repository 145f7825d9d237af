#include "http/clientconnection.h"

#include "socketoptions.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/write.hpp>

#include <sys/socket.h>

#include <cerrno>

namespace sassafrasvane::http
{

namespace
{

using boost::asio::ip::tcp;

/// Maximum number of bytes of one read.
constexpr std::size_t maxReadBytes = 16'384;

/// ClientConnection over a TCP socket.
class TcpClientConnection final : public ClientConnection
{
public:
    TcpClientConnection(boost::asio::io_context &context, const Address &server, ResponseMemory &memory)
        : socket_(context), server_(boost::asio::ip::address_v4(server.ip), server.port), reader_(memory)
    {
    }

    void open(OpenHandler handler) override;
    void call(Request request,
              std::shared_ptr<const std::string> body,
              std::uint64_t bodyLimit,
              ResponseFilter filter,
              CallHandler handler) override;
    void setOnLost(std::function<void()> hook) override { onLost_ = std::move(hook); }
    void close() override;
    bool isOpen() const noexcept override { return socket_.is_open(); }
    bool isUsable() noexcept override;

private:
    std::shared_ptr<TcpClientConnection> self()
    {
        return std::static_pointer_cast<TcpClientConnection>(shared_from_this());
    }
    void read();
    void onRead(const boost::system::error_code &error, std::size_t size);
    void onReadError(const boost::system::error_code &error);
    void onWritten(const boost::system::error_code &error, std::size_t size);
    void parse();
    void complete();
    void fail(Errc failure);
    void finish(CallResult result);

    tcp::socket socket_;
    tcp::endpoint server_;
    boost::beast::flat_buffer buffer_;
    /// The request that is being written. Its body is ownBody_ or sharedBody_.
    std::optional<beast_http::request<beast_http::span_body<const char>>> request_;
    std::string ownBody_;
    std::shared_ptr<const std::string> sharedBody_;
    ResponseReader reader_;
    CallHandler handler_;
    std::function<void()> onLost_;
    bool isReadPending_ = false;
    bool isWriting_ = false;
    bool hasWritten_ = false;
};

void TcpClientConnection::open(OpenHandler handler)
{
    boost::system::error_code error;
    socket_.open(tcp::v4(), error);
    if (error) {
        handler(error);
        return;
    }
    detail::setOptions(socket_);
    socket_.async_connect(server_, [self = self(), handler](const boost::system::error_code &connectError) {
        if (!self->socket_.is_open()) {
            return;
        }
        handler(connectError);
    });
}

void TcpClientConnection::call(Request request,
                               std::shared_ptr<const std::string> body,
                               std::uint64_t bodyLimit,
                               ResponseFilter filter,
                               CallHandler handler)
{
    ownBody_ = std::move(request.body());
    sharedBody_ = std::move(body);
    const std::string &sent = sharedBody_ ? *sharedBody_ : ownBody_;
    request_.emplace(std::move(request.base()), boost::beast::span<const char>(sent.data(), sent.size()));
    handler_ = std::move(handler);
    hasWritten_ = false;
    isWriting_ = true;
    reader_.begin({request_->method() == beast_http::verb::head, bodyLimit}, std::move(filter));
    beast_http::async_write(
        socket_, *request_, [self = self()](const boost::system::error_code &error, std::size_t size) {
            self->onWritten(error, size);
        });
    read();
}

void TcpClientConnection::onWritten(const boost::system::error_code &error, std::size_t size)
{
    isWriting_ = false;
    hasWritten_ = hasWritten_ || size > 0;
    request_.reset();
    ownBody_ = std::string();
    sharedBody_.reset();
    // The server may respond and close before it has read the whole request: a pending read can still deliver the
    // response.
    if (error && !isReadPending_) {
        fail(Errc::ConnectionLost);
    }
}

void TcpClientConnection::read()
{
    if (isReadPending_ || !socket_.is_open()) {
        return;
    }
    isReadPending_ = true;
    socket_.async_read_some(
        buffer_.prepare(maxReadBytes),
        [self = self()](const boost::system::error_code &error, std::size_t size) { self->onRead(error, size); });
}

void TcpClientConnection::onRead(const boost::system::error_code &error, std::size_t size)
{
    isReadPending_ = false;
    if (!socket_.is_open()) {
        return;
    }
    if (error) {
        onReadError(error);
        return;
    }
    buffer_.commit(size);
    if (!handler_) {
        // The server sent bytes although no call is in flight.
        fail(Errc::BadMessage);
        return;
    }
    parse();
    read();
}

void TcpClientConnection::onReadError(const boost::system::error_code &error)
{
    const bool isEnd = error == boost::asio::error::eof && handler_;
    if (isEnd) {
        reader_.putEof();
    }
    if (isEnd && reader_.state() == ResponseReader::State::Complete) {
        complete();
    } else {
        fail(Errc::ConnectionLost);
    }
}

void TcpClientConnection::parse()
{
    const boost::asio::const_buffer bytes = buffer_.data();
    buffer_.consume(reader_.put({static_cast<const char *>(bytes.data()), bytes.size()}));
    switch (reader_.state()) {
    case ResponseReader::State::Reading:
        break;
    case ResponseReader::State::Complete:
        complete();
        break;
    case ResponseReader::State::Failed:
        fail(reader_.failure());
        break;
    }
}

void TcpClientConnection::complete()
{
    CallResult result;
    result.isReusable = reader_.isKeptAlive() && !isWriting_ && buffer_.size() == 0;
    result.response.emplace(reader_.release());
    result.lease = reader_.releaseLease();
    finish(std::move(result));
}

void TcpClientConnection::fail(Errc failure)
{
    CallResult result;
    result.failure = failure;
    result.mayHaveArrived = hasWritten_ || isWriting_;
    finish(std::move(result));
}

bool TcpClientConnection::isUsable() noexcept
{
    if (!socket_.is_open()) {
        return false;
    }
    char next = 0;
    const ssize_t size = ::recv(socket_.native_handle(), &next, sizeof next, MSG_PEEK | MSG_DONTWAIT);
    return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void TcpClientConnection::finish(CallResult result)
{
    const std::shared_ptr<TcpClientConnection> alive = self();
    const CallHandler handler = std::move(handler_);
    handler_ = nullptr;
    const std::function<void()> onLost = handler ? nullptr : onLost_;
    // The filter may hold what holds this connection.
    reader_.end();
    if (!result.isReusable) {
        close();
    }
    if (handler) {
        handler(std::move(result));
    } else if (onLost) {
        onLost();
    }
}

void TcpClientConnection::close()
{
    // The handlers may hold the last references to this connection.
    const std::shared_ptr<TcpClientConnection> alive = self();
    handler_ = nullptr;
    onLost_ = nullptr;
    reader_.end();
    boost::system::error_code ignored;
    socket_.close(ignored);
}

} // namespace

std::shared_ptr<ClientConnection> ClientConnection::create(boost::asio::io_context &context,
                                                           const Address &server,
                                                           ResponseMemory &memory)
{
    return std::make_shared<TcpClientConnection>(context, server, memory);
}

} // namespace sassafrasvane::http
