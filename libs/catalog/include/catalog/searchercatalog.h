#pragma once

#include "base/time.h"
#include "catalog/searcherentry.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// \file
/// The registered searchers, with protection against stale registrations and against lapses during store outages.

namespace sassafrasvane
{

/// How a searcher's registration changed.
enum class SearcherChange {
    Added,     ///< The searcher was not registered before.
    Updated,   ///< The same process has published a new registration.
    Restarted, ///< A new process has taken over the registration.
    Removed,   ///< The registration is gone.
};

/// Stable lower-case name of \p change, for log lines.
const char *name(SearcherChange change) noexcept;

/// A change of a registration.
///
/// \c entry is the new registration, or the last known one if the searcher was removed.
struct SearcherNotice {
    SearcherChange change = SearcherChange::Added;
    SearcherEntry entry;
};

/// Tracks the registrations of searchers.
///
/// A registration that is older than the known one, by start time and heartbeat number, is ignored, so that a delayed
/// write cannot undo a later one. A removal takes effect at once, except after an outage of the store: registrations
/// may have expired because they could not be renewed, and running searchers register again soon. A removal that is
/// seen within reregistrationTime() after the store returned is therefore deferred to the end of that time, and
/// cancelled if the searcher registers again. Searchers that are draining are removed at once in any case.
///
/// \code
/// catalog.put(now, entry, notices);
/// catalog.onStoreReturned(now);
/// catalog.remove(now, instance, notices);
/// catalog.onTimer(now, notices);
/// \endcode
class SearcherCatalog
{
public:
    using Notices = std::vector<SearcherNotice>;

    /// Time after an outage of the store within which running searchers are expected to register again.
    static constexpr Duration reregistrationTime() noexcept { return std::chrono::milliseconds(2'500); }

    /// Time for which the start time and heartbeat number of a removed searcher are kept, so that a delayed write does
    /// not add the searcher again.
    static constexpr Duration tombstoneLifetime() noexcept { return std::chrono::seconds(60); }

    /// Adds or updates a searcher and appends the change to \p notices.
    /// \param epoch the store's epoch. In a newer one than that of its removal, the last registration of a removed
    /// searcher does not add it again: it comes from a copy of the store that is older than the removal.
    /// \return false if the registration is older than the known one; it is then ignored.
    bool put(TimePoint now, const SearcherEntry &entry, Notices &notices, std::uint64_t epoch = 0);

    /// Removes \p instance, or defers the removal after an outage. To be called when its registration is deleted or
    /// unreadable. \param epoch the store's epoch.
    void remove(TimePoint now, std::string_view instance, Notices &notices, std::uint64_t epoch = 0);

    /// Removes all searchers that are not in \p present, as remove() does. To be called when the full list was read
    /// again.
    void keepOnly(TimePoint now, const std::set<std::string> &present, Notices &notices);

    /// To be called when the store answers again after an outage: removals are deferred from now on for
    /// reregistrationTime().
    void onStoreReturned(TimePoint now) noexcept;

    /// Carries out deferred removals that are due and drops expired tombstones.
    void onTimer(TimePoint now, Notices &notices);

    /// When onTimer() must be called next; nothing while no timer is needed.
    std::optional<TimePoint> wakeAt() const noexcept;

    /// The registration of \p instance, or nullptr if there is none. The catalog owns it; it is valid until the
    /// searcher is removed.
    const SearcherEntry *find(std::string_view instance) const;

    std::size_t size() const noexcept { return entries_.size(); }

private:
    /// Identifies the last known registration of a removed searcher.
    struct Tombstone {
        std::uint64_t startedAtMs = 0;
        std::uint64_t sequence = 0;
        std::uint64_t epoch = 0;
        TimePoint removedAt;
    };

    bool isBeforeRemoval(TimePoint now, const SearcherEntry &entry, std::uint64_t epoch) const;
    void removeNow(TimePoint now, const std::string &instance, std::uint64_t epoch, Notices &notices);

    std::map<std::string, SearcherEntry, std::less<>> entries_;
    std::unordered_map<std::string, Tombstone> tombstones_;
    /// Searchers whose removal is deferred to the time in deferRemovalsUntil_, with the epoch of the removal.
    std::map<std::string, std::uint64_t, std::less<>> deferredRemovals_;
    /// Removals are deferred until then; nothing while they take effect at once.
    std::optional<TimePoint> deferRemovalsUntil_;
};

} // namespace sassafrasvane
