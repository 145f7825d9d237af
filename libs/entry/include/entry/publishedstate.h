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
/// The configuration version never decreases. An item is applied once per position, so that lists and changes may
/// overlap, and nothing that an item or a list of an earlier position says undoes a later change. A searcher whose
/// registration cannot be parsed is not used; a configuration that cannot be parsed leaves the previous one in force.
/// Other items are not affected.
///
/// A complete list or snapshot of a newer epoch replaces what was known before. The store has gone back to an older
/// copy then, and what that copy lacks is written again soon: searchers that it lacks are kept as after an outage, and
/// failure domains that were taken out for domainKeepTime(), unless a later change of their item brings them back.
///
/// \code
/// state.apply(now, items);
/// state.onListComplete(now, listedKeys, position);
/// const std::shared_ptr<const RouteTable> routes = state.routes();
/// \endcode
class PublishedState
{
public:
    /// Time for which removals are kept, so that changesAfter() can report them.
    static constexpr Duration removalRetention() noexcept { return std::chrono::seconds(60); }

    /// Time for which a failure domain stays out that the store no longer names after it has gone back to an older
    /// copy.
    static constexpr Duration domainKeepTime() noexcept { return std::chrono::seconds(30); }

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
    /// \p position stay. \param position the store's position up to which the snapshot is complete.
    void applySnapshot(TimePoint now, const std::vector<StoreItem> &items, const StorePosition &position);

    /// Ends a list whose pages were applied: removes the items that are missing from it, as applySnapshot() does.
    /// \param listedKeys all keys of the list. \param position the store's position when the list began.
    void onListComplete(TimePoint now, const std::set<std::string> &listedKeys, const StorePosition &position);

    /// Notes that all changes up to \p position are applied.
    void setCompletePosition(const StorePosition &position) noexcept
    {
        completePosition_ = std::max(completePosition_, position);
    }

    /// The position up to which all changes are applied; the first one of epoch 0 before the first list or snapshot. It
    /// never decreases.
    const StorePosition &completePosition() const noexcept { return completePosition_; }

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

    /// The items that changed after \p position, including removed ones. \p position must be at least historyBegin().
    std::vector<StoreItem> changesAfter(const StorePosition &position) const;

    /// The position since which all removals are kept.
    const StorePosition &historyBegin() const noexcept { return historyBegin_; }

    /// The highest position applied.
    const StorePosition &position() const noexcept { return position_; }

    std::size_t searcherCount() const noexcept { return catalog_.size(); }

private:
    /// An item that was removed.
    struct Removal {
        StorePosition position;
        TimePoint removedAt;
    };

    /// A failure domain that stays out although its item is gone.
    struct KeptDomain {
        std::string failureDomain;
        TimePoint keptUntil;
    };

    bool isOutdated(const StoreItem &item) const;
    bool isUnchangedInNewEpoch(const StoreItem &item) const;
    std::vector<StoreItem> itemsMissingFrom(const std::set<std::string> &listedKeys,
                                            const StorePosition &position) const;
    void applyItem(TimePoint now, const StoreItem &item);
    void applyContent(TimePoint now, const StoreItem &item);
    void applySearcher(TimePoint now,
                       const SearcherEntry &entry,
                       const StorePosition &position,
                       SearcherCatalog::Notices &notices);
    void keepDomain(TimePoint now, const std::string &key);
    void remove(TimePoint now, const StoreItem &item);
    void applyConfiguration(RoutingConfiguration configuration, const StoreItem &item);
    bool isRewritten(const RoutingConfiguration &configuration, const StoreItem &item) const;
    void applyNotices(const SearcherCatalog::Notices &notices, TimePoint now);
    void updateDomainsOut();

    const EntryProtocol &protocol_;
    SearcherPool &pool_;
    EventLog &log_;
    SearcherCatalog catalog_;
    std::shared_ptr<const RouteTable> routes_;
    /// The configuration in force, as the store held it.
    std::string configurationText_;
    /// Current items by key.
    std::unordered_map<std::string, StoreItem> items_;
    /// Failure domains taken out of service, by item key.
    std::unordered_map<std::string, std::string> domainsOut_;
    /// Failure domains that the store has lost by going back to an older copy, by item key.
    std::unordered_map<std::string, KeptDomain> keptDomains_;
    /// Recent removals by key.
    std::unordered_map<std::string, Removal> removals_;
    StorePosition historyBegin_{0, 1};
    StorePosition completePosition_;
    bool isComplete_ = false;
    StorePosition position_;
    std::function<void(const RouteTable &routes)> onConfiguration_;
    std::function<void(const std::string &instance)> onSearcherRemoved_;
};

} // namespace sassafrasvane
