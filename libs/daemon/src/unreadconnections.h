#pragma once

#include <httplib.h>

#include <atomic>
#include <cstddef>

/// \file
/// The connections of an HTTP server whose first request has not been read.

namespace sassafrasvane::detail
{

/// Counts the connections of a server that are open, but whose first request no thread has begun to read. If the server
/// stopped now, it would close them, and their callers could not tell whether the request has run.
///
/// \code
/// server.new_task_queue = [&unread] { return unread.createQueue(threads); };
/// server.set_socket_options([&unread](socket_t listener) { unread.setListener(listener); });
/// server.set_pre_routing_handler([&unread](auto &...) { unread.onRequestRead(); ... });
/// unread.refuseNew();
/// while (!unread.isEmpty()) { ... }
/// server.stop();
/// \endcode
class UnreadConnections
{
public:
    /// Creates the queue of the server's connections; the server deletes it.
    httplib::TaskQueue *createQueue(std::size_t threads);

    /// Sets the socket on which the server listens.
    void setListener(socket_t listener) noexcept { listener_ = listener; }

    /// Must be called on the thread that serves a connection when it has read the head of a request.
    void onRequestRead() noexcept;

    /// From now on, attempts to connect get no answer, so that the callers know that nothing was sent.
    void refuseNew() const noexcept;

    /// True if no connection waits to be accepted, for a thread, or for its first request to be read.
    bool isEmpty() const noexcept;

private:
    class Queue;

    std::atomic<socket_t> listener_{-1};
    std::atomic<std::size_t> count_{0};
};

} // namespace sassafrasvane::detail
