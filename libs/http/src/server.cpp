#include "http/server.h"

#include "headermemory.h"
#include "serverconnection.h"
#include "socketoptions.h"

#include <boost/asio/io_context.hpp>

#include <vector>

namespace sassafrasvane::http
{

namespace
{

constexpr int listenBacklog = 1'024;
constexpr unsigned internalError = 500;
/// Time until the next attempt when no connection can be accepted: the process may have no file descriptor left.
constexpr Duration acceptRetryDelay = std::chrono::milliseconds(50);

} // namespace

Exchange::Exchange(std::shared_ptr<detail::ServerConnection> connection,
                   Request request,
                   RequestLease lease,
                   TimePoint receivedAt)
    : connection_(std::move(connection))
    , held_(std::make_shared<HeldRequest>(HeldRequest{std::move(request), std::move(lease)}))
    , receivedAt_(receivedAt)
{
}

Exchange::~Exchange()
{
    if (!isAnswered_ && !isAbandoned_) {
        connection_->respond(emptyResponse(internalError));
    }
}

Duration Exchange::roundTrip() const noexcept
{
    return connection_->roundTrip();
}

bool Exchange::isFirstOnConnection() const noexcept
{
    return connection_->requests() == 1;
}

bool Exchange::reserveHeadCopies(std::size_t copies)
{
    return held_->lease.resize(BootClock::now(),
                               held_->lease.held() + copies * detail::memoryOf(held_->request.base()));
}

void Exchange::respond(Response response)
{
    if (isAnswered_ || isAbandoned_) {
        return;
    }
    isAnswered_ = true;
    onAbandoned_ = nullptr;
    connection_->respond(std::move(response));
}

void Exchange::abandon()
{
    if (isAnswered_ || isAbandoned_) {
        return;
    }
    isAbandoned_ = true;
    if (const std::function<void()> hook = std::move(onAbandoned_)) {
        hook();
    }
}

Response emptyResponse(unsigned status)
{
    Response response;
    response.result(status);
    response.prepare_payload();
    return response;
}

Response textResponse(unsigned status, std::string_view contentType, std::string body)
{
    Response response;
    response.result(status);
    response.set(beast_http::field::content_type, toView(contentType));
    response.body() = std::move(body);
    response.prepare_payload();
    return response;
}

namespace detail
{

ServerState::ServerState(boost::asio::io_context &context, const ServerLimits &limits, ServerHooks hooks)
    : acceptor(context), acceptTimer(context), limits(limits), hooks(std::move(hooks))
{
}

boost::system::error_code ServerState::listen(const Address &address)
{
    using boost::asio::ip::tcp;
    const tcp::endpoint endpoint(boost::asio::ip::address_v4(address.ip), address.port);
    boost::system::error_code error;
    acceptor.open(tcp::v4(), error);
    if (!error) {
        acceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
        limitSocketBuffers(acceptor);
        acceptor.bind(endpoint, error);
    }
    if (!error) {
        acceptor.listen(listenBacklog, error);
    }
    return error;
}

void ServerState::accept()
{
    acceptor.async_accept(
        [self = shared_from_this()](const boost::system::error_code &error, boost::asio::ip::tcp::socket socket) {
            if (!self->acceptor.is_open() || error == boost::asio::error::operation_aborted) {
                return;
            }
            if (error) {
                self->acceptLater();
                return;
            }
            self->accept();
            self->onAccepted(std::move(socket));
        });
}

void ServerState::acceptLater()
{
    acceptTimer.expires_after(acceptRetryDelay);
    acceptTimer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (!error && self->acceptor.is_open()) {
            self->accept();
        }
    });
}

void ServerState::acceptPending()
{
    boost::system::error_code error;
    acceptor.non_blocking(true, error);
    while (!error) {
        boost::asio::ip::tcp::socket socket = acceptor.accept(error);
        if (!error) {
            onAccepted(std::move(socket));
        }
    }
}

void ServerState::onAccepted(boost::asio::ip::tcp::socket socket)
{
    if (!hasRoom()) {
        ++counters.refusedConnections;
        return;
    }
    ++counters.accepted;
    const std::shared_ptr<ServerConnection> connection
        = std::make_shared<ServerConnection>(std::move(socket), shared_from_this());
    add(connection);
    connection->start();
}

bool ServerState::hasRoom()
{
    const TimePoint now = BootClock::now();
    if (connections.size() >= limits.connections) {
        std::vector<RequestHolder *> holders;
        for (const std::shared_ptr<ServerConnection> &connection : connections) {
            holders.push_back(connection.get());
        }
        if (!memory->shedLongestWaiting(now, holders)) {
            return false;
        }
    }
    return connections.size() < limits.reservedConnections || memory->makeRoomForConnection(now);
}

void ServerState::add(const std::shared_ptr<ServerConnection> &connection)
{
    connections.insert(connection);
    memory->add(*connection);
    counters.openConnections = connections.size();
}

void ServerState::remove(const std::shared_ptr<ServerConnection> &connection)
{
    connections.erase(connection);
    memory->remove(*connection);
    counters.openConnections = connections.size();
}

} // namespace detail

Server::Server(std::shared_ptr<detail::ServerState> state) : state_(std::move(state))
{
}

Server::~Server()
{
    stopAccepting();
    const std::vector<std::shared_ptr<detail::ServerConnection>> open(state_->connections.begin(),
                                                                      state_->connections.end());
    for (const std::shared_ptr<detail::ServerConnection> &connection : open) {
        connection->close();
    }
}

void Server::setLimits(const ServerLimits &limits)
{
    state_->limits = limits;
}

void Server::closeAfterResponses()
{
    state_->isClosingAfterResponses = true;
}

void Server::closeIdle()
{
    const std::vector<std::shared_ptr<detail::ServerConnection>> open(state_->connections.begin(),
                                                                      state_->connections.end());
    for (const std::shared_ptr<detail::ServerConnection> &connection : open) {
        if (connection->isIdle()) {
            connection->close();
        }
    }
}

void Server::stopAccepting()
{
    // The system would reset the connections that it has queued.
    state_->acceptPending();
    boost::system::error_code ignored;
    state_->acceptor.close(ignored);
    state_->acceptTimer.cancel();
}

void Server::closeExpired(TimePoint now)
{
    std::vector<std::shared_ptr<detail::ServerConnection>> expired;
    std::vector<std::shared_ptr<detail::ServerConnection>> stalled;
    for (const std::shared_ptr<detail::ServerConnection> &connection : state_->connections) {
        if (connection->isExpired(now)) {
            expired.push_back(connection);
        } else if (connection->isNewlyStalled(now)) {
            stalled.push_back(connection);
        }
    }
    for (const std::shared_ptr<detail::ServerConnection> &connection : expired) {
        state_->counters.expiredRequests += connection->isIdle() ? 0 : 1;
        connection->close();
    }
    for (const std::shared_ptr<detail::ServerConnection> &connection : stalled) {
        connection->accountStall();
    }
}

ServerCounters Server::counters() const noexcept
{
    return state_->counters;
}

Server::Builder::Builder(boost::asio::io_context &context) : context_(context)
{
}

Server::Builder &Server::Builder::address(const Address &address) noexcept
{
    address_ = address;
    return *this;
}

Server::Builder &Server::Builder::limits(const ServerLimits &limits) noexcept
{
    limits_ = limits;
    return *this;
}

Server::Builder &Server::Builder::handler(RequestHandler handler)
{
    hooks_.handler = std::move(handler);
    return *this;
}

Server::Builder &Server::Builder::memory(std::shared_ptr<RequestMemory> memory)
{
    memory_ = std::move(memory);
    return *this;
}

Server::Builder &Server::Builder::headFilter(HeadFilter filter)
{
    hooks_.filterHead = std::move(filter);
    return *this;
}

Server::Builder &Server::Builder::overloadResponse(std::function<Response()> response)
{
    hooks_.overloadResponse = std::move(response);
    return *this;
}

Result<std::unique_ptr<Server>> Server::Builder::build() const
{
    const std::shared_ptr<detail::ServerState> state = std::make_shared<detail::ServerState>(context_, limits_, hooks_);
    state->memory = memory_ ? memory_ : std::make_shared<RequestMemory>(RequestMemoryLimits());
    if (const boost::system::error_code error = state->listen(address_)) {
        return Error{Errc::Unavailable, Step::Accept, address_.toString(), error.message()};
    }
    state->accept();
    return std::unique_ptr<Server>(new Server(state));
}

} // namespace sassafrasvane::http
