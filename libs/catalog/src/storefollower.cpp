#include "catalog/storefollower.h"

#include <algorithm>
#include <array>
#include <utility>

namespace sassafrasvane
{

const char *name(StoreFailure failure) noexcept
{
    constexpr std::array<const char *, 7> names{
        "unreachable", "silent", "refused", "history_lost", "bad_answer", "too_large", "old_epoch"};
    return names.at(static_cast<std::size_t>(failure));
}

StoreFollower::StoreFollower(std::vector<std::string> prefixes, std::uint64_t seed)
    : prefixes_(std::move(prefixes)), random_(seed), dueAt_(TimePoint{})
{
}

void StoreFollower::onPage(TimePoint now, StorePage page, StoreActions &actions)
{
    isCallOpen_ = false;
    if (!checkEpoch(now, page.asOf, page.isEpochStated, actions)) {
        return;
    }
    onAnswered(now, actions);
    if (position_.revision == 0) {
        position_ = page.asOf;
    }
    const bool isAdvancing = !page.items.empty() && page.items.back().key > lastKey_;
    if (page.hasMore && isAdvancing) {
        lastKey_ = page.items.back().key;
    } else {
        ++prefixIndex_;
        lastKey_.clear();
    }
    for (const StoreItem &item : page.items) {
        listedKeys_.insert(item.key);
    }
    actions.items = std::move(page.items);
    if (prefixIndex_ == prefixes_.size()) {
        isListing_ = false;
        actions.isListComplete = true;
        actions.listedKeys = std::exchange(listedKeys_, {});
    }
    schedule(now, actions);
}

void StoreFollower::onChanges(TimePoint now, StoreChanges changes, StoreActions &actions)
{
    isCallOpen_ = false;
    if (!checkEpoch(now, changes.asOf, changes.isEpochStated, actions)) {
        return;
    }
    onAnswered(now, actions);
    position_ = std::max(position_, changes.asOf);
    const bool hasChanges = !changes.items.empty();
    actions.items = std::move(changes.items);
    schedule(hasChanges ? now + watchPause() : now, actions);
}

std::optional<StoreFailure> StoreFollower::epochFailure(std::uint64_t epoch, bool isEpochStated) const noexcept
{
    if (!isEpochStated && areEpochsStated_) {
        return StoreFailure::BadAnswer;
    }
    return epoch < knownEpoch_ ? std::optional(StoreFailure::OldEpoch) : std::nullopt;
}

// Returns true if the answer can be applied. Otherwise it is handled as a failure, or the store is listed again.
bool StoreFollower::checkEpoch(TimePoint now, const StorePosition &asOf, bool isEpochStated, StoreActions &actions)
{
    actions.rejection = epochFailure(asOf.epoch, isEpochStated);
    if (actions.rejection) {
        onFailure(now, *actions.rejection, actions);
        return false;
    }
    areEpochsStated_ = areEpochsStated_ || isEpochStated;
    knownEpoch_ = asOf.epoch;
    const bool isFirstPage = isListing_ && position_.revision == 0;
    if (isFirstPage || asOf.epoch == position_.epoch) {
        return true;
    }
    onAnswered(now, actions);
    startListSoon(now, actions);
    return false;
}

void StoreFollower::onAnswered(TimePoint now, StoreActions &actions)
{
    actions.hasStoreReturned = isOutageAssumed_ || isOutageOver(now);
    isOutageAssumed_ = false;
    failedSince_.reset();
    confirmedAt_.reset();
    isConnected_ = true;
    retryPause_ = initialRetryPause();
}

// A time in which nobody has confirmed the items is no outage as such: the other sources may be lost or cut off. The
// store must have failed this process, too.
bool StoreFollower::isOutageOver(TimePoint now) const noexcept
{
    const bool isFirstAnswerLate = confirmedAt_ && now - callStartedAt_ >= maxPromptAnswerTime();
    if (!failedSince_ && !isFirstAnswerLate) {
        return false;
    }
    return now - confirmedAt_.value_or(failedSince_.value_or(now)) >= minOutageTime();
}

void StoreFollower::noteConfirmed(TimePoint at) noexcept
{
    if (isPaused_ || isConnected_) {
        return;
    }
    confirmedAt_ = at;
    isOutageAssumed_ = isOutageAssumed_ && at < failedAt_;
}

void StoreFollower::onFailure(TimePoint now, StoreFailure failure, StoreActions &actions)
{
    isCallOpen_ = false;
    const bool isWatchTooLarge = failure == StoreFailure::TooLarge && !isListing_;
    if (failure == StoreFailure::HistoryLost || isWatchTooLarge) {
        onAnswered(now, actions);
        startListSoon(now, actions);
        return;
    }
    const bool isFirstFailure = !failedSince_;
    failedSince_ = failedSince_.value_or(callStartedAt_);
    failedAt_ = now;
    // A connection that breaks or falls silent is no outage as such: the store may serve others all the while.
    isOutageAssumed_ = isOutageAssumed_ || failure == StoreFailure::Refused;
    isConnected_ = false;
    if (isListing_ || failure == StoreFailure::BadAnswer) {
        startList();
    }
    const Duration pause = retryPause_ * (isSlowRetry_ ? slowRetryFactor() : 1);
    const Duration jitter(static_cast<Duration::rep>(random_.below(static_cast<std::uint64_t>(pause.count()))));
    const bool isConnectionLost = failure == StoreFailure::Unreachable || failure == StoreFailure::TimedOut;
    const bool isRetriedAtOnce = isFirstFailure && isConnectionLost;
    if (isRetriedAtOnce) {
        schedule(now, actions);
        return;
    }
    schedule(now + pause / 2 + jitter, actions);
    retryPause_ = std::min(retryPause_ * 2, maxRetryPause());
}

void StoreFollower::onTimer(TimePoint now, StoreActions &actions)
{
    if (isCallOpen_ || isPaused_ || !dueAt_) {
        return;
    }
    if (now < *dueAt_) {
        actions.wakeAt = dueAt_;
        return;
    }
    dueAt_.reset();
    isCallOpen_ = true;
    callStartedAt_ = now;
    if (!isListing_ && position_.epoch < knownEpoch_) {
        startList();
    }
    actions.call = nextCall();
}

void StoreFollower::adoptPosition(const StorePosition &position) noexcept
{
    noteEpoch(position.epoch);
    if (!isPaused_) {
        return;
    }
    isListing_ = false;
    position_ = position;
}

void StoreFollower::pause() noexcept
{
    isPaused_ = true;
    isCallOpen_ = false;
    isConnected_ = false;
    dueAt_.reset();
}

void StoreFollower::resume(TimePoint now, std::optional<TimePoint> confirmedAt, StoreActions &actions)
{
    isPaused_ = false;
    isCallOpen_ = false;
    isOutageAssumed_ = !confirmedAt;
    failedSince_.reset();
    confirmedAt_ = confirmedAt;
    retryPause_ = initialRetryPause();
    if (isListing_) {
        startList();
    }
    schedule(now, actions);
}

void StoreFollower::startList()
{
    isListing_ = true;
    prefixIndex_ = 0;
    lastKey_.clear();
    listedKeys_.clear();
    position_ = {};
}

// A process that is not the only one to follow the store waits for the others: all of them lose a history at the same
// moment, and can follow the first that has listed the store.
void StoreFollower::startListSoon(TimePoint now, StoreActions &actions)
{
    startList();
    if (!isSlowRetry_) {
        schedule(now, actions);
        return;
    }
    const Duration pause = initialRetryPause() * slowRetryFactor();
    const Duration jitter(static_cast<Duration::rep>(random_.below(static_cast<std::uint64_t>(pause.count()))));
    schedule(now + pause / 2 + jitter, actions);
}

void StoreFollower::schedule(TimePoint at, StoreActions &actions)
{
    dueAt_ = at;
    actions.wakeAt = at;
}

StoreCall StoreFollower::nextCall() const
{
    StoreCall call;
    if (isListing_) {
        call.kind = StoreCall::Kind::List;
        call.prefix = prefixes_[prefixIndex_];
        call.afterKey = lastKey_;
        call.timeout = listTimeout();
        return call;
    }
    call.kind = StoreCall::Kind::Watch;
    call.afterRevision = position_.revision;
    const bool isCheck = failedSince_ || confirmedAt_;
    call.wait = isCheck ? checkWait() : watchWait();
    call.timeout = isCheck ? checkTimeout() : watchWait() + watchTimeoutMargin();
    return call;
}

} // namespace sassafrasvane
