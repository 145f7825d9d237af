#pragma once

#include "base/time.h"
#include "http/clientconnection.h"
#include "placement/trackedsearcher.h"

#include <memory>
#include <unordered_map>
#include <vector>

namespace boost::asio
{
class io_context;
}

/// \file
/// Pool of connections to searchers.

namespace sassafrasvane
{

/// Keeps idle connections to searchers for reuse and creates new ones up to a limit for each searcher.
///
/// \code
/// const SearcherConnectionPool::Lease lease = connections.acquire(now, searcher, limit, maxIdle);
/// connections.release(now, searcher, lease.connection, idleTimeout);
/// \endcode
class SearcherConnectionPool
{
public:
    /// A connection for one call.
    struct Lease {
        /// Null if the connection limit is reached.
        std::shared_ptr<http::ClientConnection> connection;
        /// True if the connection has to be opened before use.
        bool isNew = false;
    };

    /// Timeout for opening a connection.
    static constexpr Duration connectTimeout() noexcept { return std::chrono::milliseconds(300); }

    /// \param memory limits the total memory of the responses of all searchers.
    SearcherConnectionPool(boost::asio::io_context &context, http::ResponseMemory &memory);

    /// Takes an idle connection, or a new one if there is none.
    /// \param limit maximum number of connections to the searcher.
    /// \param maxIdle idle connections that have been idle for longer are closed instead of used.
    Lease acquire(TimePoint now, const TrackedSearcher &searcher, std::size_t limit, Duration maxIdle);

    /// Takes a new connection even if there are idle ones.
    Lease acquireNew(const TrackedSearcher &searcher, std::size_t limit);

    /// Returns a connection that can be reused.
    /// \param idleTimeout how long the searcher keeps the idle connection open; a default applies if it is not known.
    void release(TimePoint now,
                 const TrackedSearcher &searcher,
                 const std::shared_ptr<http::ClientConnection> &connection,
                 std::optional<Duration> idleTimeout);

    /// Records that the holder of a connection has closed it.
    void discard(const TrackedSearcher &searcher);

    /// Closes connections that have been idle for too long. Must be called periodically.
    void closeStale(TimePoint now);

    /// Closes all idle connections to \p instance.
    void closeIdle(const std::string &instance);

    /// True if a connection to \p searcher is open or being opened.
    bool hasConnection(const TrackedSearcher &searcher) const;

    std::size_t openConnections() const noexcept { return open_; }
    std::uint64_t totalOpenedConnections() const noexcept { return opened_; }

private:
    struct IdleConnection {
        std::shared_ptr<http::ClientConnection> connection;
        TimePoint since;
        TimePoint expiresAt;
    };

    struct Connections {
        std::vector<IdleConnection> idle;
        std::size_t open = 0;
    };

    static bool isStale(TimePoint now, const Connections &connections, const IdleConnection &idle);
    void removeLostConnection(const std::string &instance, const http::ClientConnection *connection);

    boost::asio::io_context &context_;
    http::ResponseMemory &memory_;
    std::unordered_map<std::string, Connections> connections_;
    std::size_t open_ = 0;
    std::uint64_t opened_ = 0;
};

} // namespace sassafrasvane
