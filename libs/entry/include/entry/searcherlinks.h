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
/// const SearcherLinks::Lease lease = links.acquire(now, searcher, limit, longestIdle);
/// links.release(now, searcher, lease.connection, idleTimeout);
/// \endcode
class SearcherLinks
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
    SearcherLinks(boost::asio::io_context &context, http::ResponseMemory &memory);

    /// Takes a connection. \param longestIdle an idle connection that is older is not used.
    Lease acquire(TimePoint now, const TrackedSearcher &searcher, std::size_t limit, Duration longestIdle);

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
    void forget(const std::string &instance);

    /// True if a connection to \p searcher is open or being opened.
    bool hasConnection(const TrackedSearcher &searcher) const;

    std::size_t openConnections() const noexcept { return open_; }
    std::uint64_t openedConnections() const noexcept { return opened_; }

private:
    struct Idle {
        std::shared_ptr<http::ClientConnection> connection;
        TimePoint since;
        TimePoint expiresAt;
    };

    struct Links {
        std::vector<Idle> idle;
        std::size_t open = 0;
    };

    static bool isStale(TimePoint now, const Links &links, const Idle &idle);
    void drop(const std::string &instance, const http::ClientConnection *connection);

    boost::asio::io_context &context_;
    http::ResponseMemory &memory_;
    std::unordered_map<std::string, Links> links_;
    std::size_t open_ = 0;
    std::uint64_t opened_ = 0;
};

} // namespace sassafrasvane
