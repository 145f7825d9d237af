#include "entry/feedtask.h"

#include <algorithm>

namespace sassafrasvane
{

namespace
{

constexpr Duration minFallbackDelay = std::chrono::milliseconds(400);
constexpr Duration maxFallbackDelay = std::chrono::milliseconds(1'000);
constexpr Duration fallbackDelayPerProcess = std::chrono::milliseconds(5);
constexpr Duration minFallbackJitter = std::chrono::milliseconds(500);
constexpr Duration maxFallbackJitter = std::chrono::milliseconds(1'200);
constexpr Duration fallbackJitterPerProcess = std::chrono::milliseconds(10);

Duration scaled(Duration min, Duration perProcess, Duration max, std::size_t processCount) noexcept
{
    return std::min(max, min + perProcess * static_cast<Duration::rep>(processCount));
}

} // namespace

Duration FeedTask::fallbackDelay(std::size_t processCount) noexcept
{
    return scaled(minFallbackDelay, fallbackDelayPerProcess, maxFallbackDelay, processCount);
}

Duration FeedTask::fallbackJitter(std::size_t processCount) noexcept
{
    return scaled(minFallbackJitter, fallbackJitterPerProcess, maxFallbackJitter, processCount);
}

FeedTask::FeedTask(boost::asio::io_context &context,
                   http::ResponseMemory &memory,
                   PublishedState &state,
                   StoreTask &store,
                   EventLog &log,
                   std::uint64_t seed,
                   Duration startFallbackDelay)
    : context_(context)
    , memory_(memory)
    , state_(state)
    , store_(store)
    , log_(log)
    , random_(seed)
    , lastContactAt_(BootClock::now())
    , followStoreAt_(lastContactAt_ + startFallbackDelay)
{
}

FeedTask::~FeedTask()
{
    for (const auto &[peer, client] : clients_) {
        client->stop();
    }
}

void FeedTask::setPeers(std::span<const Address> peers, bool isReader, std::size_t processCount)
{
    processCount_ = processCount;
    peers_.assign(peers.begin(), peers.end());
    isReader_ = isReader;
    store_.setSlowRetry(!isReader);
    onTick(BootClock::now());
}

void FeedTask::onTick(TimePoint now)
{
    noteLossOfAllPeers();
    updateClients();
    const bool isHealthy = hasHealthyPeer(now);
    if (isFollowingStore_ && store_.isConnected()) {
        onContact(now);
    } else if (isHealthy) {
        onPeerContact(now);
    }
    if (isHealthy != hadHealthyPeer_) {
        hadHealthyPeer_ = isHealthy;
        const Duration jitter(static_cast<Duration::rep>(
            random_.below(static_cast<std::uint64_t>(fallbackJitter(processCount_).count()))));
        followStoreAt_ = now + fallbackDelay(processCount_) + jitter;
    }
    if (isReader_) {
        setFollowingStore(true, "reader");
    } else if (isHealthy) {
        setFollowingStore(false, "peers respond");
    } else if (now >= followStoreAt_) {
        setFollowingStore(true, "no peer responds");
    }
}

void FeedTask::updateClients()
{
    // A reader that has lost the store follows the other readers until it is back.
    const bool followsPeers = !isReader_ || !store_.isConnected();
    const Address *const primary = peers_.empty() ? nullptr : &peers_.front();
    for (ClientMap::iterator client = clients_.begin(); client != clients_.end();) {
        const bool isWanted = followsPeers && std::find(peers_.begin(), peers_.end(), client->first) != peers_.end()
            && client->second->wantsItems() == (client->first == *primary);
        if (isWanted) {
            ++client;
        } else {
            client->second->stop();
            client = clients_.erase(client);
        }
    }
    for (const Address &peer : peers_) {
        if (!followsPeers || clients_.contains(peer)) {
            continue;
        }
        const FeedClient::Hooks hooks{[this] { return state_.completePosition(); },
                                      [this] { return acceptsUnconfirmed(); },
                                      [this](const FeedResponse &response) { applyResponse(response); }};
        const std::shared_ptr<FeedClient> client
            = std::make_shared<FeedClient>(context_, memory_, peer, peer == *primary, hooks);
        clients_.emplace(peer, client);
        client->start();
    }
}

std::optional<ConfirmedPosition> FeedTask::confirmedPosition(TimePoint now) const
{
    const StorePosition position = state_.completePosition();
    if (store_.isUpToDate()) {
        return ConfirmedPosition{position, Duration{0}};
    }
    const ClientMap::const_iterator primary = peers_.empty() ? clients_.end() : clients_.find(peers_.front());
    if (isReader_ || position == StorePosition() || primary == clients_.end() || !primary->second->isHealthy(now)) {
        return std::nullopt;
    }
    return ConfirmedPosition{position, primary->second->age(now)};
}

bool FeedTask::hasHealthyPeer(TimePoint now) const
{
    return std::any_of(
        clients_.begin(), clients_.end(), [now](const auto &client) { return client.second->isHealthy(now); });
}

bool FeedTask::haveAllPeersLostStore() const
{
    return !clients_.empty() && std::all_of(clients_.begin(), clients_.end(), [](const auto &client) {
        return client.second->hasPeerLostStore();
    });
}

void FeedTask::noteLossOfAllPeers()
{
    if (isOutageAssumed_ || !haveAllPeersLostStore()) {
        return;
    }
    isOutageAssumed_ = true;
    if (isFollowingStore_) {
        store_.noteConfirmed(confirmedAt());
    }
}

// When the store surely served last. Peers that have lost it confirmed its items until they noticed.
TimePoint FeedTask::confirmedAt() const
{
    return isOutageAssumed_ ? lastContactAt_ - StoreFollower::maxLossDetectionTime() : lastContactAt_;
}

void FeedTask::setFollowingStore(bool isFollowing, const char *reason)
{
    if (isFollowingStore_ == isFollowing) {
        return;
    }
    isFollowingStore_ = isFollowing;
    log_.line(EventRank::Important, "source_changed")
        .text("source", isFollowing ? "store" : "other processes")
        .text("reason", reason)
        .count("epoch", state_.position().epoch)
        .count("revision", state_.position().revision);
    if (isFollowing) {
        const bool areItemsConfirmed = state_.completePosition() > StorePosition() && !areItemsUnconfirmed_;
        store_.resume(areItemsConfirmed ? std::optional(confirmedAt()) : std::nullopt);
    } else {
        store_.pause();
    }
}

void FeedTask::onContact(TimePoint now)
{
    isOutageAssumed_ = false;
    areItemsUnconfirmed_ = false;
    lastContactAt_ = now;
}

// Any response of a peer ends an outage, also one without items: those may follow on another connection.
void FeedTask::onPeerContact(TimePoint now)
{
    if (isOutageAssumed_ || now - lastContactAt_ >= StoreFollower::minOutageTime()) {
        log_.line(EventRank::Important, "store_outage_ended")
            .text("reason", isOutageAssumed_ ? "all peers had lost the store" : "no source for a time")
            .milliseconds("without_contact_ms", now - lastContactAt_);
        state_.onStoreReturned(now);
    }
    onContact(now);
    if (isFollowingStore_) {
        store_.noteConfirmed(now);
    }
}

bool FeedTask::acceptsUnconfirmed() const
{
    const bool hasStoreFailed = isFollowingStore_ && !store_.isStarting() && !store_.isConnected();
    return !state_.isComplete() && hasStoreFailed;
}

// Not a contact with the store: what has changed or expired since is unknown.
void FeedTask::applyUnconfirmed(const FeedResponse &response)
{
    // All peers are asked at the same time, and the first to respond may have missed what the store held last.
    const bool isNewer = areItemsUnconfirmed_ && response.position > state_.completePosition();
    if ((!acceptsUnconfirmed() && !isNewer) || !response.isSnapshot) {
        return;
    }
    log_.line(EventRank::Important, "unconfirmed_items_taken")
        .count("epoch", response.position.epoch)
        .count("revision", response.position.revision)
        .count("items", response.items.size());
    state_.applySnapshot(BootClock::now(), response.items, response.position);
    isOutageAssumed_ = true;
    areItemsUnconfirmed_ = true;
}

void FeedTask::applyResponse(const FeedResponse &response)
{
    if (!response.isConfirmed) {
        applyUnconfirmed(response);
        return;
    }
    const TimePoint now = BootClock::now();
    onPeerContact(now);
    if (response.isSnapshot) {
        state_.applySnapshot(now, response.items, response.position);
    } else {
        state_.apply(now, response.items);
    }
    state_.setCompletePosition(response.position);
    store_.adoptPosition(state_.completePosition());
}

} // namespace sassafrasvane
