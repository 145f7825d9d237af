#pragma once

#include "base/time.h"
#include "catalog/searchercatalog.h"
#include "catalog/storefollower.h"
#include "entry/protocol.h"
#include "observe/eventlog.h"
#include "placement/searcherpool.h"
#include "routing/routetable.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

/// \file
/// The items published in the store, as applied by this process.

namespace sassafrasvane
{

/// Applies the store's items to the routes, the searcher pool and the failure domains, and logs each change.
///
/// The configuration version never decreases. An item is applied once per revision, so that lists and changes may
/// overlap, and nothing that an item or a list of an earlier revision says undoes a later change. A searcher whose
/// registration cannot be parsed is not used; a configuration that cannot be parsed leaves the previous one in force.
/// Other items are not affected.
///
/// \code
/// state.apply(now, items);
/// state.onListComplete(now, listedKeys, revision);
/// const std::shared_ptr<const RouteTable> routes = state.routes();
/// \endcode
class PublishedState
{
public:
    /// Time for which removals are kept, so that changesAfter() can report them.
    static constexpr Duration removalRetention() noexcept { return std::chrono::seconds(60); }

    PublishedState(const EntryProtocol &protocol, SearcherPool &pool, EventLog &log);

    /// Sets the callback for a new configuration that has come into force.
    void setOnConfiguration(std::function<void(const RouteTable &routes)> hook) { onConfiguration_ = std::move(hook); }

    /// Sets the callback for a searcher that is no longer registered.
    void setOnSearcherRemoved(std::function<void(const std::string &instance)> hook)
    {
        onSearcherRemoved_ = std::move(hook);
    }

    /// Applies changed items in the order in which they were read.
    void apply(TimePoint now, const std::vector<StoreItem> &items);

    /// Applies a snapshot of the store and removes the items that are missing from it. Items that have changed after
    /// \p revision stay. \param revision the store's revision up to which the snapshot is complete.
    void applySnapshot(TimePoint now, const std::vector<StoreItem> &items, std::uint64_t revision);

    /// Ends a list whose pages were applied: removes the items that are missing from it, as applySnapshot() does.
    /// \param listedKeys all keys of the list. \param revision the store's revision when the list began.
    void onListComplete(TimePoint now, const std::set<std::string> &listedKeys, std::uint64_t revision);

    /// Notes that all changes up to \p revision are applied.
    void setCompleteRevision(std::uint64_t revision) noexcept
    {
        completeRevision_ = std::max(completeRevision_, revision);
    }

    /// The revision up to which all changes are applied; 0 before the first list or snapshot. It never decreases.
    std::uint64_t completeRevision() const noexcept { return completeRevision_; }

    /// Called when the store responds again after an outage.
    void onStoreReturned(TimePoint now);

    /// Handles expired registrations and drops old removals.
    void onTick(TimePoint now);

    /// The current routes; null before the first configuration.
    const std::shared_ptr<const RouteTable> &routes() const noexcept { return routes_; }

    /// True once all items were listed for the first time, so that routes and searchers are known.
    bool isComplete() const noexcept { return isComplete_; }

    /// The current items.
    std::vector<StoreItem> items() const;

    /// The items that changed after \p revision, including removed ones. \p revision must be at least historyBegin().
    std::vector<StoreItem> changesAfter(std::uint64_t revision) const;

    /// The revision since which all removals are kept.
    std::uint64_t historyBegin() const noexcept { return historyBegin_; }

    /// The highest revision applied.
    std::uint64_t revision() const noexcept { return revision_; }

    std::size_t searcherCount() const noexcept { return catalog_.size(); }

private:
    /// An item that was removed.
    struct Removal {
        std::uint64_t revision = 0;
        TimePoint removedAt;
    };

    bool isOutdated(const StoreItem &item) const;
    std::vector<StoreItem> itemsMissingFrom(const std::set<std::string> &listedKeys, std::uint64_t revision) const;
    void applyItem(TimePoint now, const StoreItem &item);
    void remove(TimePoint now, const StoreItem &item);
    void applyConfiguration(RoutingConfiguration configuration);
    void applyNotices(const SearcherCatalog::Notices &notices, TimePoint now);
    void updateDomainsOut();

    const EntryProtocol &protocol_;
    SearcherPool &pool_;
    EventLog &log_;
    SearcherCatalog catalog_;
    std::shared_ptr<const RouteTable> routes_;
    /// Current items by key.
    std::unordered_map<std::string, StoreItem> items_;
    /// Failure domains taken out of service, by item key.
    std::unordered_map<std::string, std::string> domainsOut_;
    /// Recent removals by key.
    std::unordered_map<std::string, Removal> removals_;
    std::uint64_t historyBegin_ = 1;
    std::uint64_t completeRevision_ = 0;
    bool isComplete_ = false;
    std::uint64_t revision_ = 0;
    std::function<void(const RouteTable &routes)> onConfiguration_;
    std::function<void(const std::string &instance)> onSearcherRemoved_;
};

} // namespace sassafrasvane
