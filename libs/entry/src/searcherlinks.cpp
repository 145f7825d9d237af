#include "entry/searcherlinks.h"

#include <algorithm>

namespace sassafrasvane
{

namespace
{

/// How long an idle connection is kept if the searcher does not say.
constexpr Duration defaultIdleTime = std::chrono::seconds(8);
/// Time before the searcher's timeout at which a connection is no longer used.
constexpr Duration idleMargin = std::chrono::milliseconds(700);
/// Idle time after which a connection is closed if the searcher has others. If this VM loses power, the searcher counts
/// its connections against its limit for some time, so that few of them may be left behind.
constexpr Duration spareIdleTime = std::chrono::milliseconds(1'500);

// A restarted searcher may keep its instance, so its start belongs to the key.
std::string keyOf(const TrackedSearcher &searcher)
{
    return searcher.entry().instance + '/' + std::to_string(searcher.entry().startedAtMs);
}

} // namespace

SearcherLinks::SearcherLinks(boost::asio::io_context &context, http::ResponseMemory &memory)
    : context_(context), memory_(memory)
{
}

SearcherLinks::Lease SearcherLinks::acquire(TimePoint now,
                                            const TrackedSearcher &searcher,
                                            std::size_t limit,
                                            Duration longestIdle)
{
    Links &links = links_[keyOf(searcher)];
    while (!links.idle.empty()) {
        const Idle idle = links.idle.back();
        links.idle.pop_back();
        idle.connection->setOnLost(nullptr);
        const bool isFresh = now < idle.expiresAt && now - idle.since <= longestIdle && idle.connection->isQuiet();
        if (isFresh) {
            return {idle.connection, false};
        }
        idle.connection->close();
        --links.open;
        --open_;
    }
    return acquireNew(searcher, limit);
}

SearcherLinks::Lease SearcherLinks::acquireNew(const TrackedSearcher &searcher, std::size_t limit)
{
    Links &links = links_[keyOf(searcher)];
    if (links.open >= limit) {
        return {};
    }
    ++links.open;
    ++open_;
    ++opened_;
    return {http::ClientConnection::create(context_, searcher.entry().address, memory_), true};
}

void SearcherLinks::release(TimePoint now,
                            const TrackedSearcher &searcher,
                            const std::shared_ptr<http::ClientConnection> &connection,
                            std::optional<Duration> idleTimeout)
{
    const std::string key = keyOf(searcher);
    const Duration kept = std::max(Duration{0}, idleTimeout.value_or(defaultIdleTime) - idleMargin);
    links_[key].idle.push_back({connection, now, now + kept});
    connection->setOnLost([this, key, lost = connection.get()] { drop(key, lost); });
}

void SearcherLinks::discard(const TrackedSearcher &searcher)
{
    Links &links = links_[keyOf(searcher)];
    links.open -= std::min<std::size_t>(links.open, 1);
    --open_;
}

bool SearcherLinks::hasConnection(const TrackedSearcher &searcher) const
{
    const std::unordered_map<std::string, Links>::const_iterator links = links_.find(keyOf(searcher));
    return links != links_.end() && links->second.open > 0;
}

void SearcherLinks::drop(const std::string &instance, const http::ClientConnection *connection)
{
    Links &links = links_[instance];
    const std::vector<Idle>::iterator found
        = std::find_if(links.idle.begin(), links.idle.end(), [connection](const Idle &idle) {
              return idle.connection.get() == connection;
          });
    if (found == links.idle.end()) {
        return;
    }
    links.idle.erase(found);
    --links.open;
    --open_;
}

bool SearcherLinks::isStale(TimePoint now, const Links &links, const Idle &idle)
{
    const bool isSpare = links.open > 1 && now - idle.since >= spareIdleTime;
    return now >= idle.expiresAt || isSpare;
}

void SearcherLinks::closeStale(TimePoint now)
{
    for (std::unordered_map<std::string, Links>::iterator entry = links_.begin(); entry != links_.end();) {
        Links &links = entry->second;
        // The connection that was used last stands at the end.
        for (std::vector<Idle>::iterator idle = links.idle.begin(); idle != links.idle.end();) {
            if (!isStale(now, links, *idle)) {
                ++idle;
                continue;
            }
            idle->connection->close();
            --links.open;
            --open_;
            idle = links.idle.erase(idle);
        }
        entry = links.open == 0 ? links_.erase(entry) : std::next(entry);
    }
}

void SearcherLinks::forget(const std::string &instance)
{
    for (auto &[key, links] : links_) {
        if (!key.starts_with(instance + '/')) {
            continue;
        }
        for (const Idle &idle : links.idle) {
            idle.connection->close();
        }
        open_ -= links.idle.size();
        links.open -= links.idle.size();
        links.idle.clear();
    }
}

} // namespace sassafrasvane
