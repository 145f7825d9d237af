#pragma once

#include "base/address.h"

#include <httplib.h>

#include <cstddef>
#include <functional>
#include <mutex>
#include <set>
#include <thread>

/// \file
/// An HTTP server of cpp-httplib whose connections can be counted, capped and cut, as a failing server's are.

namespace sassafrasvane
{

/// A listener with a thread for each connection.
///
/// \code
/// HttpServer server(25);
/// server.Get("/load", handler);
/// server.start(address);
/// \endcode
class HttpServer : public httplib::Server
{
public:
    /// \param connections most connections at a time; further ones are closed at once.
    explicit HttpServer(std::size_t connections);
    ~HttpServer() override;

    /// Called on each new connection's thread before its first request. \return false to close the connection.
    void setOpenHook(std::function<bool()> hook) { openHook_ = std::move(hook); }

    /// Listens at \p address in a thread of its own. \return false if the address cannot be bound.
    bool start(const Address &address);

    /// Listens at any free port of 127.0.0.1. \return the address, with port 0 if there is none.
    Address startAnywhere();

    /// Cuts all connections; requests in work get no answer.
    void closeConnections();

    /// Ends the listener and all connections.
    void shutdown();

    /// Connections that are open now.
    std::size_t connections() const;

    /// Most connections at a time since the start or resetPeak().
    std::size_t connectionsPeak() const;

    /// Connections that were closed because of the cap.
    std::size_t connectionsRefused() const;

    /// Starts counting again from what is open.
    void resetPeak();

private:
    bool process_and_close_socket(socket_t socket) override;
    bool admit(socket_t socket);
    void serve(socket_t socket);
    void forget(socket_t socket);
    void listenInThread();

    std::size_t limit_;
    std::function<bool()> openHook_;
    mutable std::mutex mutex_;
    std::set<socket_t> sockets_;
    std::size_t peak_ = 0;
    std::size_t refused_ = 0;
    bool isStopping_ = false;
    std::thread thread_;
};

} // namespace sassafrasvane
