#pragma once

#include "base/random.h"
#include "base/time.h"
#include "catalog/storeposition.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// \file
/// Mirrors a key-value store that can be listed and watched.

namespace sassafrasvane
{

/// One item of the store.
struct StoreItem {
    std::string key;
    std::string value;
    /// The store's position at the item's last change.
    StorePosition position;
    /// True if the item was removed at that position.
    bool isRemoved = false;
};

/// One page of a listing.
struct StorePage {
    std::vector<StoreItem> items;
    /// True if more pages follow.
    bool hasMore = false;
    /// The store's position when the page was read.
    StorePosition asOf;
    /// False if the answer states no epoch or one that cannot be read; asOf and the items have epoch 0 then.
    bool isEpochStated = false;
};

/// The answer to a watch.
struct StoreChanges {
    std::vector<StoreItem> items;
    /// The position after which the next watch continues.
    StorePosition asOf;
    /// See StorePage::isEpochStated.
    bool isEpochStated = false;
};

/// Why a call to the store failed.
enum class StoreFailure {
    Unreachable, ///< The connection could not be opened, or broke.
    TimedOut,    ///< No answer before the timeout.
    Refused,     ///< The store answered with an error status.
    HistoryLost, ///< The watched revision is no longer available.
    BadAnswer,   ///< The answer could not be parsed.
    TooLarge,    ///< The answer needs more memory than there is for it.
    OldEpoch,    ///< The answer is of an epoch that has ended.
};

/// Stable lower-case name of \p failure, for log lines.
const char *name(StoreFailure failure) noexcept;

/// A call to the store.
struct StoreCall {
    enum class Kind {
        List,
        Watch,
    };
    Kind kind = Kind::List;
    /// List: prefix of the keys to list.
    std::string prefix;
    /// List: the last key of the previous page; empty for the first page.
    std::string afterKey;
    /// Watch: only changes after this revision, in the epoch that the store has then, are returned.
    std::uint64_t afterRevision = 0;
    /// Watch: how long the store may hold the call while there is no change.
    Duration wait{0};
    /// Time after which the call counts as failed.
    Duration timeout{0};
};

/// What the user of a StoreFollower must do after an event. The user clears it before the next event.
struct StoreActions {
    /// The call to make now, if any; at most one call is in flight.
    std::optional<StoreCall> call;
    /// When onTimer() must be called next.
    std::optional<TimePoint> wakeAt;
    /// Items to apply, in order.
    std::vector<StoreItem> items;
    /// True if a full listing has ended: items whose keys are not in listedKeys no longer exist, unless they have
    /// changed after the listing's first page.
    bool isListComplete = false;
    /// All keys of the listing that has ended.
    std::set<std::string> listedKeys;
    /// True if the store answered for the first time, or after an outage in which entries may have expired.
    bool hasStoreReturned = false;
    /// Why an answer that could be read counts as none, if so.
    std::optional<StoreFailure> rejection;
};

/// Decides which call to the store to make next; does no I/O itself.
///
/// It lists all prefixes, then watches from the revision of the listing's first page. It lists again when the store no
/// longer has the history since the watched revision, and when the answer to a watch is too large or cannot be parsed:
/// the same watch would be answered in the same way, while a listing comes in pages. Failed calls are retried with
/// exponential backoff and jitter; the first connection that is lost or silent after an answer is replaced at once.
///
/// An answer of a newer epoch is not applied: the store is listed again in that epoch. An answer of an older epoch than
/// the newest known one counts as none. So does one that states no epoch, if an earlier one did: it may be of any
/// epoch.
///
/// \code
/// StoreFollower follower({"configuration/", "searchers/"}, seed);
/// follower.onTimer(now, actions);
/// follower.onPage(now, page, actions);
/// \endcode
class StoreFollower
{
public:
    /// How long the store may hold a watch. A lost answer is detected watchTimeoutMargin() later.
    static constexpr Duration watchWait() noexcept { return std::chrono::milliseconds(1'500); }
    /// The wait of the first watch after a failure or a pause. Its answer shows at once that the store serves.
    static constexpr Duration checkWait() noexcept { return std::chrono::milliseconds(1); }
    /// Timeout of such a watch.
    static constexpr Duration checkTimeout() noexcept { return std::chrono::milliseconds(1'000); }
    /// Time beyond watchWait() after which a watch times out.
    static constexpr Duration watchTimeoutMargin() noexcept { return std::chrono::milliseconds(500); }
    /// Timeout of a list call.
    static constexpr Duration listTimeout() noexcept { return std::chrono::milliseconds(700); }
    /// Pause before the next watch after a change, so that changes in quick succession share a call.
    static constexpr Duration watchPause() noexcept { return std::chrono::milliseconds(150); }
    /// Initial and maximum backoff after failures, before jitter and slowRetryFactor() apply.
    static constexpr Duration initialRetryPause() noexcept { return std::chrono::milliseconds(200); }
    static constexpr Duration maxRetryPause() noexcept { return std::chrono::milliseconds(1'000); }
    /// Factor by which slow retry lengthens the backoff.
    static constexpr int slowRetryFactor() noexcept { return 4; }
    /// Time since the store last answered from which entries may have expired. Searchers register about every 1.2 s,
    /// and a registration expires after three times as long. A single lost answer is noticed earlier.
    static constexpr Duration minOutageTime() noexcept { return std::chrono::milliseconds(2'200); }
    /// Time from the store's last answer until a follower has noticed that it answers no longer, at most.
    static constexpr Duration maxLossDetectionTime() noexcept { return watchWait() + watchTimeoutMargin(); }
    /// Time from which the answer to the first call after a pause shows that the store didn't serve.
    static constexpr Duration maxPromptAnswerTime() noexcept { return std::chrono::milliseconds(500); }

    /// Follows all keys under \p prefixes. \param seed seeds the jitter of retries.
    StoreFollower(std::vector<std::string> prefixes, std::uint64_t seed);

    /// Handles the answer to a list call.
    void onPage(TimePoint now, StorePage page, StoreActions &actions);

    /// Handles the answer to a watch.
    void onChanges(TimePoint now, StoreChanges changes, StoreActions &actions);

    /// Handles the failure of the call in flight. An incomplete listing starts over.
    void onFailure(TimePoint now, StoreFailure failure, StoreActions &actions);

    /// Issues the next call if it is due.
    void onTimer(TimePoint now, StoreActions &actions);

    /// Sets whether retries use the longer backoff of slowRetryFactor(), for a process that is not the only one to
    /// follow the store.
    void setSlowRetry(bool isSlowRetry) noexcept { isSlowRetry_ = isSlowRetry; }

    /// Declares all items up to \p position as known from another source, so that the next call watches from there.
    /// While not paused, only its epoch counts, as in noteEpoch().
    void adoptPosition(const StorePosition &position) noexcept;

    /// Declares that the store has reached \p epoch, as another source says. The next call lists if the items are of
    /// an older one.
    void noteEpoch(std::uint64_t epoch) noexcept { knownEpoch_ = std::max(knownEpoch_, epoch); }

    /// Abandons the call in flight and makes none until resume().
    void pause() noexcept;

    /// Continues after pause(): watches from the last or adopted position, or restarts an incomplete listing.
    /// \param confirmedAt when another source last confirmed the items; nothing if none has. The next answer counts as
    /// the store's return if nobody has confirmed the items, or if the store has failed this process meanwhile and
    /// \p confirmedAt is minOutageTime() ago or more.
    void resume(TimePoint now, std::optional<TimePoint> confirmedAt, StoreActions &actions);

    /// Declares that another source has confirmed the items at \p at, while the calls of this process fail. The store
    /// was not away then; this process was cut off from it, or rejected.
    void noteConfirmed(TimePoint at) noexcept;

    /// The position up to which all items are known; nothing while a listing is incomplete or due because of a newer
    /// epoch.
    std::optional<StorePosition> completeAsOf() const noexcept
    {
        return isListing_ || position_.epoch < knownEpoch_ ? std::nullopt : std::optional<StorePosition>(position_);
    }

    /// True if the last call was answered.
    bool isConnected() const noexcept { return isConnected_; }

private:
    void onAnswered(TimePoint now, StoreActions &actions);
    bool isOutageOver(TimePoint now) const noexcept;
    bool checkEpoch(TimePoint now, const StorePosition &asOf, bool isEpochStated, StoreActions &actions);
    std::optional<StoreFailure> epochFailure(std::uint64_t epoch, bool isEpochStated) const noexcept;
    void startList();
    void startListSoon(TimePoint now, StoreActions &actions);
    void schedule(TimePoint at, StoreActions &actions);
    StoreCall nextCall() const;

    std::vector<std::string> prefixes_;
    Random random_;
    bool isListing_ = true;
    /// Position of the listing: the prefix being read and the last key read under it.
    std::size_t prefixIndex_ = 0;
    std::string lastKey_;
    /// The keys that the listing has reported so far.
    std::set<std::string> listedKeys_;
    /// Position from which to watch; revision 0 until the first page of a listing is read.
    StorePosition position_;
    /// The newest epoch that any source has stated.
    std::uint64_t knownEpoch_ = 0;
    /// True once an answer has stated its epoch.
    bool areEpochsStated_ = false;
    bool isCallOpen_ = false;
    bool isPaused_ = false;
    bool isSlowRetry_ = false;
    /// When the next call is due; nothing while a call is in flight or the follower is paused.
    std::optional<TimePoint> dueAt_;
    Duration retryPause_ = initialRetryPause();
    bool isConnected_ = false;
    TimePoint callStartedAt_;
    /// Start of the first call that failed since the last answer.
    std::optional<TimePoint> failedSince_;
    /// When a call failed last.
    TimePoint failedAt_;
    /// When another source last confirmed the items since the last answer.
    std::optional<TimePoint> confirmedAt_;
    /// True if the next answer counts as the store's return, whatever the duration of the failures.
    bool isOutageAssumed_ = true;
};

} // namespace sassafrasvane
