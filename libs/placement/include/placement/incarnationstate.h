#pragma once

#include "base/time.h"
#include "catalog/searcherentry.h"
#include "placement/callpause.h"
#include "placement/limitrecovery.h"
#include "placement/pacedshare.h"
#include "placement/statedlimit.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>

/// \file
/// What one process of a searcher asks of its callers.

namespace sassafrasvane
{

/// What one process of a searcher asks of its callers, and how far this VM has used it. It belongs to the process and
/// not to its registration, which may expire and return while the store is away.
struct IncarnationState {
    /// The rate limit that the searcher states for all VMs together.
    StatedLimit statedLimit;
    /// The rate after the stated limit has ended.
    LimitRecovery recovery;
    /// This VM's share of the stated limit or of the rate during the recovery.
    PacedShare pacedShare;
    /// While the searcher is cold: when this VM may call it next. In the distant past if it has not called it cold.
    TimePoint nextColdCallAt;
    /// The pause that the searcher asks of this VM.
    CallPause pause;
    /// True once a reply has said that the searcher leaves. Nothing that the store or another VM tells of this process
    /// undoes it.
    bool isLeaving = false;
};

/// Keeps the states of searchers whose registrations were removed, in case the same process registers again.
///
/// \code
/// retained.keep(searcher.entry(), state);
/// std::shared_ptr<IncarnationState> state = retained.take(entry);
/// \endcode
class RetainedIncarnations
{
public:
    /// Maximum number of states. The oldest state of a searcher that does not leave is dropped first.
    static constexpr std::size_t maxStates() noexcept { return 4'096; }

    /// Keeps \p state, also if the searcher asks nothing yet: replies to open calls may still tell.
    void keep(const SearcherEntry &entry, std::shared_ptr<IncarnationState> state);

    /// Returns the state of the process that \p entry registers and keeps it no longer; a new one if there is none. An
    /// earlier process of an instance that leaves is gone, so that it leaves, too.
    std::shared_ptr<IncarnationState> take(const SearcherEntry &entry);

private:
    /// Instance and start of a searcher's process.
    using Key = std::pair<std::string, std::uint64_t>;

    static Key keyOf(const SearcherEntry &entry) { return {entry.instance, entry.startedAtMs}; }

    void dropOne();
    bool hasLaterThatLeaves(const Key &key) const;

    std::map<Key, std::shared_ptr<IncarnationState>> states_;
    /// Keys of the states in the order in which they were kept.
    std::deque<Key> order_;
};

} // namespace sassafrasvane
