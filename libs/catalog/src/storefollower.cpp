#include "catalog/storefollower.h"

#include <algorithm>
#include <array>
#include <utility>

namespace sassafrasvane
{

const char *name(StoreFailure failure) noexcept
{
    constexpr std::array<const char *, 6> names{
        "unreachable", "silent", "refused", "history_lost", "bad_answer", "too_large"};
    return names.at(static_cast<std::size_t>(failure));
}

StoreFollower::StoreFollower(std::vector<std::string> prefixes, std::uint64_t seed)
    : prefixes_(std::move(prefixes)), random_(seed), dueAt_(TimePoint{})
{
}

void StoreFollower::onPage(TimePoint now, StorePage page, StoreActions &actions)
{
    isCallOpen_ = false;
    onAnswered(now, actions);
    if (revision_ == 0) {
        revision_ = page.asOf;
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
    onAnswered(now, actions);
    revision_ = std::max(revision_, changes.asOf);
    const bool hasChanges = !changes.items.empty();
    actions.items = std::move(changes.items);
    schedule(hasChanges ? now + watchPause() : now, actions);
}

void StoreFollower::onAnswered(TimePoint now, StoreActions &actions)
{
    const bool isLongOutage = failedSince_ && now - *failedSince_ >= minOutageTime();
    actions.hasStoreReturned = isOutageAssumed_ || isLongOutage;
    isOutageAssumed_ = false;
    failedSince_.reset();
    isConnected_ = true;
    retryPause_ = initialRetryPause();
}

void StoreFollower::onFailure(TimePoint now, StoreFailure failure, StoreActions &actions)
{
    isCallOpen_ = false;
    const bool isWatchTooLarge = failure == StoreFailure::TooLarge && !isListing_;
    if (failure == StoreFailure::HistoryLost || isWatchTooLarge) {
        onAnswered(now, actions);
        startList();
        schedule(now, actions);
        return;
    }
    const bool isFirstFailure = retryPause_ == initialRetryPause();
    if (!failedSince_) {
        failedSince_ = callStartedAt_;
    }
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
    schedule(isRetriedAtOnce ? now : now + pause / 2 + jitter, actions);
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
    actions.call = nextCall();
}

void StoreFollower::adoptRevision(std::uint64_t revision) noexcept
{
    if (!isPaused_) {
        return;
    }
    isListing_ = false;
    revision_ = revision;
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
    failedSince_ = confirmedAt;
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
    revision_ = 0;
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
    call.afterRevision = revision_;
    call.wait = failedSince_ ? checkWait() : watchWait();
    call.timeout = watchWait() + watchTimeoutMargin();
    return call;
}

} // namespace sassafrasvane
