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
/// The connections to searchers.

namespace sassafrasvane
{

/// Keeps idle connections to searchers and opens new ones within a limit.
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
        /// Null if the limit is reached.
        std::shared_ptr<http::ClientConnection> connection;
        /// True if it has to be opened first.
        bool isNew = false;
    };

    /// Longest time in which a connection must open.
    static constexpr Duration connectTimeout() noexcept { return std::chrono::milliseconds(300); }

    /// \param memory bounds the responses of all searchers together.
    SearcherConnectionPool(boost::asio::io_context &context, http::ResponseMemory &memory);

    /// Takes a connection. \param maxIdle an idle connection that is older is not used.
    Lease acquire(TimePoint now, const TrackedSearcher &searcher, std::size_t limit, Duration maxIdle);

    /// Takes a connection that has to be opened, also if idle ones are there.
    Lease acquireNew(const TrackedSearcher &searcher, std::size_t limit);

    /// Gives back a connection that may carry another call. \param idleTimeout how long the searcher keeps it.
    void release(TimePoint now,
                 const TrackedSearcher &searcher,
                 const std::shared_ptr<http::ClientConnection> &connection,
                 std::optional<Duration> idleTimeout);

    /// Notes that a connection has been closed.
    void discard(const TrackedSearcher &searcher);

    /// Closes connections that have been idle for too long.
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
