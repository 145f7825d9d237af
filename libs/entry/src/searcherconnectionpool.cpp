#include "entry/searcherconnectionpool.h"

#include <algorithm>

namespace sassafrasvane
{

namespace
{

/// How long the searcher is assumed to keep an idle connection if it does not say.
constexpr Duration defaultIdleTimeout = std::chrono::seconds(8);
/// How long before the searcher's idle timeout a connection is no longer used.
constexpr Duration idleMargin = std::chrono::milliseconds(700);
/// Idle time after which a connection is closed if the searcher has others. If this VM loses power, the searcher counts
/// its connections against its limit for some time, so that few of them may be left behind.
constexpr Duration maxSpareIdleTime = std::chrono::milliseconds(1'500);

// Includes the start time, because a restarted searcher may keep its instance name.
std::string keyOf(const TrackedSearcher &searcher)
{
    return searcher.entry().instance + '/' + std::to_string(searcher.entry().startedAtMs);
}

} // namespace

SearcherConnectionPool::SearcherConnectionPool(boost::asio::io_context &context, http::ResponseMemory &memory)
    : context_(context), memory_(memory)
{
}

SearcherConnectionPool::Lease SearcherConnectionPool::acquire(TimePoint now,
                                                              const TrackedSearcher &searcher,
                                                              std::size_t limit,
                                                              Duration maxIdle)
{
    Connections &connections = connections_[keyOf(searcher)];
    while (!connections.idle.empty()) {
        const IdleConnection idle = connections.idle.back();
        connections.idle.pop_back();
        idle.connection->setOnLost(nullptr);
        const bool isFresh = now < idle.expiresAt && now - idle.since <= maxIdle && idle.connection->isUsable();
        if (isFresh) {
            return {idle.connection, false};
        }
        idle.connection->close();
        --connections.open;
        --open_;
    }
    return acquireNew(searcher, limit);
}

SearcherConnectionPool::Lease SearcherConnectionPool::acquireNew(const TrackedSearcher &searcher, std::size_t limit)
{
    Connections &connections = connections_[keyOf(searcher)];
    if (connections.open >= limit) {
        return {};
    }
    ++connections.open;
    ++open_;
    ++opened_;
    return {http::ClientConnection::create(context_, searcher.entry().address, memory_), true};
}

void SearcherConnectionPool::release(TimePoint now,
                                     const TrackedSearcher &searcher,
                                     const std::shared_ptr<http::ClientConnection> &connection,
                                     std::optional<Duration> idleTimeout)
{
    const std::string key = keyOf(searcher);
    const Duration kept = std::max(Duration{0}, idleTimeout.value_or(defaultIdleTimeout) - idleMargin);
    connections_[key].idle.push_back({connection, now, now + kept});
    connection->setOnLost([this, key, lost = connection.get()] { removeLostConnection(key, lost); });
}

void SearcherConnectionPool::discard(const TrackedSearcher &searcher)
{
    Connections &connections = connections_[keyOf(searcher)];
    connections.open -= std::min<std::size_t>(connections.open, 1);
    --open_;
}

bool SearcherConnectionPool::hasConnection(const TrackedSearcher &searcher) const
{
    const std::unordered_map<std::string, Connections>::const_iterator connections = connections_.find(keyOf(searcher));
    return connections != connections_.end() && connections->second.open > 0;
}

void SearcherConnectionPool::removeLostConnection(const std::string &instance, const http::ClientConnection *connection)
{
    Connections &connections = connections_[instance];
    const std::vector<IdleConnection>::iterator found
        = std::find_if(connections.idle.begin(), connections.idle.end(), [connection](const IdleConnection &idle) {
              return idle.connection.get() == connection;
          });
    if (found == connections.idle.end()) {
        return;
    }
    connections.idle.erase(found);
    --connections.open;
    --open_;
}

bool SearcherConnectionPool::isStale(TimePoint now, const Connections &connections, const IdleConnection &idle)
{
    const bool isSpare = connections.open > 1 && now - idle.since >= maxSpareIdleTime;
    return now >= idle.expiresAt || isSpare;
}

void SearcherConnectionPool::closeStale(TimePoint now)
{
    for (std::unordered_map<std::string, Connections>::iterator entry = connections_.begin();
         entry != connections_.end();) {
        Connections &connections = entry->second;
        // The connection that was used last is at the end.
        for (std::vector<IdleConnection>::iterator idle = connections.idle.begin(); idle != connections.idle.end();) {
            if (!isStale(now, connections, *idle)) {
                ++idle;
                continue;
            }
            idle->connection->close();
            --connections.open;
            --open_;
            idle = connections.idle.erase(idle);
        }
        entry = connections.open == 0 ? connections_.erase(entry) : std::next(entry);
    }
}

void SearcherConnectionPool::closeIdle(const std::string &instance)
{
    for (auto &[key, connections] : connections_) {
        if (!key.starts_with(instance + '/')) {
            continue;
        }
        for (const IdleConnection &idle : connections.idle) {
            idle.connection->close();
        }
        open_ -= connections.idle.size();
        connections.open -= connections.idle.size();
        connections.idle.clear();
    }
}

} // namespace sassafrasvane
