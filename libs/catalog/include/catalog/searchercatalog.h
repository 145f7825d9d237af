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
/// The searchers that are registered, as far as the store's word can be trusted.

namespace sassafrasvane
{

/// What happened to a searcher's registration.
enum class SearcherChange {
    Added,     ///< It was not registered.
    Updated,   ///< The same process says something new.
    Restarted, ///< A new process has taken over the registration.
    Removed,   ///< It is registered no more.
};

/// Stable lower-case name of \p change, for log lines.
const char *name(SearcherChange change) noexcept;

/// A change with the registration after it, or before it if it was removed.
struct SearcherNotice {
    SearcherChange change = SearcherChange::Added;
    SearcherEntry entry;
};

/// Follows the registrations of searchers.
///
/// A registration that is older than the one known, by start time and heartbeat number, is ignored: a delayed write
/// must not undo a later one. A removal counts at once, except after an outage of the store: registrations may have
/// lapsed because nobody could renew them, and those of living searchers return soon after. So a searcher that an
/// outage has removed is kept until reregistrationTime() after the store's return.
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

    /// Time after an outage within which living searchers register again.
    static constexpr Duration reregistrationTime() noexcept { return std::chrono::milliseconds(2'500); }

    /// Time for which the last registration of a removed searcher is remembered.
    static constexpr Duration tombstoneLifetime() noexcept { return std::chrono::seconds(60); }

    /// Takes a registration. \return false if it is older than the one known.
    bool put(TimePoint now, const SearcherEntry &entry, Notices &notices);

    /// The registration of \p instance is gone or cannot be read.
    void remove(TimePoint now, std::string_view instance, Notices &notices);

    /// Removes all searchers but \p present: the whole list was read anew.
    void keepOnly(TimePoint now, const std::set<std::string> &present, Notices &notices);

    /// The store answers again after an outage.
    void onStoreReturned(TimePoint now) noexcept;

    /// Carries out removals that are due, and forgets old ones.
    void onTimer(TimePoint now, Notices &notices);

    /// When onTimer() wants to be called.
    std::optional<TimePoint> wakeAt() const noexcept;

    /// The registration of \p instance; nullptr if there is none.
    const SearcherEntry *find(std::string_view instance) const;

    std::size_t size() const noexcept { return entries_.size(); }

private:
    struct Tombstone {
        std::uint64_t startedAtMs = 0;
        std::uint64_t sequence = 0;
        TimePoint removedAt;
    };

    void removeNow(TimePoint now, const std::string &instance, Notices &notices);

    std::map<std::string, SearcherEntry, std::less<>> entries_;
    std::unordered_map<std::string, Tombstone> tombstones_;
    /// Searchers whose removal waits.
    std::set<std::string, std::less<>> deferredRemovals_;
    /// Removals wait until then; nothing while they count at once.
    std::optional<TimePoint> deferRemovalsUntil_;
};

} // namespace sassafrasvane
