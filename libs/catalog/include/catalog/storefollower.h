#pragma once

#include "base/random.h"
#include "base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// \file
/// Follows a store that can be listed and watched.

namespace sassafrasvane
{

/// One item of the store.
struct StoreItem {
    std::string key;
    std::string value;
    /// The store's revision of the item's last change.
    std::uint64_t revision = 0;
    /// True if the item was removed at that revision.
    bool isRemoved = false;
};

/// One page of a list.
struct StorePage {
    std::vector<StoreItem> items;
    bool hasMore = false;
    /// The store's revision when the page was read.
    std::uint64_t asOf = 0;
};

/// The answer to a watch.
struct StoreChanges {
    std::vector<StoreItem> items;
    /// The revision from which to watch on.
    std::uint64_t asOf = 0;
};

/// Why a call to the store brought nothing.
enum class StoreFailure {
    Unreachable, ///< No connection, or it broke.
    TimedOut,    ///< No answer in time.
    Refused,     ///< The store said that it did nothing.
    HistoryLost, ///< The watched revision is no longer available.
    BadAnswer,   ///< The answer cannot be read.
};

/// Stable lower-case name of \p failure, for log lines.
const char *name(StoreFailure failure) noexcept;

/// One call to make.
struct StoreCall {
    enum class Kind {
        List,
        Watch,
    };
    Kind kind = Kind::List;
    /// List: prefix of the keys.
    std::string prefix;
    /// List: the last key of the page before; empty for the first page.
    std::string afterKey;
    /// Watch: the revision after which changes are wanted.
    std::uint64_t afterRevision = 0;
    /// Watch: how long the store may wait for a change.
    Duration wait{0};
    /// Time after which the call has failed.
    Duration timeout{0};
};

/// What StoreFollower wants done. The caller clears it before the next event.
struct StoreActions {
    /// A call to make now; at most one is open.
    std::optional<StoreCall> call;
    /// When onTimer() wants to be called.
    std::optional<TimePoint> wakeAt;
    /// Items to take, in order.
    std::vector<StoreItem> items;
    /// True if all items were read anew and items not named since the last list began are gone.
    bool isListComplete = false;
    /// True if the store answered for the first time, or after an outage in which entries may have lapsed.
    bool hasStoreReturned = false;
};

/// Decides which call to make next: lists all prefixes, then watches from the revision of the list's first page, and
/// lists anew when the history is lost. Failed calls are made again after a growing pause.
///
/// \code
/// StoreFollower follower({"configuration/", "searchers/"}, seed);
/// follower.onTimer(now, actions);
/// follower.onPage(now, page, actions);
/// \endcode
class StoreFollower
{
public:
    /// How long the store may hold a watch. A lost answer is noticed a little later.
    static constexpr Duration watchWait() noexcept { return std::chrono::milliseconds(1'500); }
    /// Time beyond the wait after which a watch is given up.
    static constexpr Duration watchTimeoutMargin() noexcept { return std::chrono::milliseconds(500); }
    /// Time after which a list call is given up.
    static constexpr Duration listTimeout() noexcept { return std::chrono::milliseconds(700); }
    /// Pause between two watches, so that changes in quick succession share a call.
    static constexpr Duration watchPause() noexcept { return std::chrono::milliseconds(150); }
    /// First and longest pause after failures.
    static constexpr Duration initialRetryPause() noexcept { return std::chrono::milliseconds(200); }
    static constexpr Duration maxRetryPause() noexcept { return std::chrono::milliseconds(1'000); }
    /// Factor of the pauses of a patient follower.
    static constexpr int slowRetryFactor() noexcept { return 4; }
    /// Time of failures after which entries may have lapsed.
    static constexpr Duration minOutageTime() noexcept { return std::chrono::milliseconds(1'000); }

    StoreFollower(std::vector<std::string> prefixes, std::uint64_t seed);

    /// Takes a page of the list that was asked for.
    void onPage(TimePoint now, StorePage page, StoreActions &actions);

    /// Takes the answer to the watch that was asked for.
    void onChanges(TimePoint now, StoreChanges changes, StoreActions &actions);

    /// The open call has failed.
    void onFailure(TimePoint now, StoreFailure failure, StoreActions &actions);

    /// Makes the next call if it is due.
    void onTimer(TimePoint now, StoreActions &actions);

    /// Whether failed calls are made again after long pauses only: others follow the store as well.
    void setSlowRetry(bool isSlowRetry) noexcept { isSlowRetry_ = isSlowRetry; }

    /// All items up to \p revision are known from elsewhere: the next call may watch from there.
    void adoptRevision(std::uint64_t revision) noexcept;

    /// Forgets the open call and makes none until resume().
    void pause() noexcept;

    /// Goes on where pause() or adoptRevision() left off.
    void resume(TimePoint now, StoreActions &actions);

    /// The revision up to which all items are known; nothing while a list is incomplete.
    std::optional<std::uint64_t> completeAsOf() const noexcept
    {
        return isListing_ ? std::nullopt : std::optional<std::uint64_t>(revision_);
    }

    /// True if the last call was answered.
    bool isConnected() const noexcept { return isConnected_; }

private:
    void onAnswered(TimePoint now, StoreActions &actions);
    void startList();
    void schedule(TimePoint at, StoreActions &actions);
    StoreCall nextCall() const;

    std::vector<std::string> prefixes_;
    Random random_;
    bool isListing_ = true;
    /// The list's position: the prefix being read and the last key read of it.
    std::size_t prefixIndex_ = 0;
    std::string lastKey_;
    /// Revision from which to watch; 0 until the first page of a list is read.
    std::uint64_t revision_ = 0;
    bool isCallOpen_ = false;
    bool isPaused_ = false;
    bool isSlowRetry_ = false;
    std::optional<TimePoint> dueAt_;
    Duration retryPause_ = initialRetryPause();
    bool isConnected_ = false;
    std::optional<TimePoint> failedSince_;
    bool isOutageAssumed_ = true;
};

} // namespace sassafrasvane
