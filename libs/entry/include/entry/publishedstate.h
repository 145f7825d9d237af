#pragma once

#include "base/time.h"
#include "catalog/searchercatalog.h"
#include "catalog/storefollower.h"
#include "entry/protocol.h"
#include "observe/eventlog.h"
#include "placement/searcherpool.h"
#include "routing/routetable.h"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

/// \file
/// What the store has published, as this process has it in force.

namespace sassafrasvane
{

/// Takes the items of the store, keeps what they say in force, and logs each change.
///
/// Configuration versions only rise. An item is taken once for each of its revisions, so that lists and changes may
/// overlap. Items that cannot be read name nothing; the others hold.
///
/// \code
/// state.apply(now, items);
/// state.onListComplete(now);
/// const std::shared_ptr<const RouteTable> routes = state.routes();
/// \endcode
class PublishedState
{
public:
    /// Time for which removed items are remembered.
    static constexpr Duration removalMemory() noexcept { return std::chrono::seconds(60); }

    PublishedState(const EntryProtocol &protocol, SearcherPool &pool, EventLog &log);

    /// Sets what is called when a configuration has come into force.
    void setOnConfiguration(std::function<void(const RouteTable &routes)> hook) { onConfiguration_ = std::move(hook); }

    /// Sets what is called when a searcher is registered no more.
    void setOnSearcherGone(std::function<void(const std::string &instance)> hook) { onSearcherGone_ = std::move(hook); }

    /// Takes items in the order in which they were read.
    void apply(TimePoint now, const std::vector<StoreItem> &items);

    /// A list begins: items that it does not name will be gone.
    void beginList();

    /// All items were listed. \param revision the store's revision when the list began.
    void onListComplete(TimePoint now, std::uint64_t revision);

    /// The store answers again after an outage.
    void onStoreReturned(TimePoint now);

    /// Carries out what is due.
    void onTick(TimePoint now);

    /// The routes in force; null if no configuration was read yet.
    const std::shared_ptr<const RouteTable> &routes() const noexcept { return routes_; }

    /// True once all items were listed, so that routes and searchers are known.
    bool isComplete() const noexcept { return isComplete_; }

    /// The items in force.
    std::vector<StoreItem> items() const;

    /// The items that changed after \p revision, removed ones included. \p revision is at least historyBegin().
    std::vector<StoreItem> changesAfter(std::uint64_t revision) const;

    /// The revision from which on removed items are remembered.
    std::uint64_t historyBegin() const noexcept { return historyBegin_; }

    /// The highest revision that was taken.
    std::uint64_t revision() const noexcept { return revision_; }

    std::size_t searchers() const noexcept { return catalog_.size(); }

private:
    /// An item that was removed.
    struct Removal {
        std::uint64_t revision = 0;
        TimePoint at;
    };

    bool isOutdated(const StoreItem &item) const;
    void applyItem(TimePoint now, const StoreItem &item);
    void remove(TimePoint now, const StoreItem &item);
    void take(RoutingConfiguration configuration);
    void tell(const SearcherCatalog::Notices &notices, TimePoint now);
    void updateDomainsOut();

    const EntryProtocol &protocol_;
    SearcherPool &pool_;
    EventLog &log_;
    SearcherCatalog catalog_;
    std::shared_ptr<const RouteTable> routes_;
    /// Items in force by key.
    std::unordered_map<std::string, StoreItem> items_;
    /// Failure domains that are taken out, by key.
    std::unordered_map<std::string, std::string> domainsOut_;
    /// Items that were removed lately, by key.
    std::unordered_map<std::string, Removal> removals_;
    std::uint64_t historyBegin_ = 1;
    std::set<std::string> listed_;
    bool isComplete_ = false;
    std::uint64_t revision_ = 0;
    std::function<void(const RouteTable &routes)> onConfiguration_;
    std::function<void(const std::string &instance)> onSearcherGone_;
};

} // namespace sassafrasvane
