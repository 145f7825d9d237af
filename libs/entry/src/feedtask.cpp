#include "entry/feedtask.h"

#include <algorithm>

namespace sassafrasvane
{

namespace
{

constexpr Duration leastPatience = std::chrono::milliseconds(400);
constexpr Duration mostPatience = std::chrono::milliseconds(1'000);
constexpr Duration patiencePerProcess = std::chrono::milliseconds(5);
constexpr Duration leastSpread = std::chrono::milliseconds(500);
constexpr Duration mostSpread = std::chrono::milliseconds(1'200);
constexpr Duration spreadPerProcess = std::chrono::milliseconds(10);

Duration grown(Duration least, Duration perProcess, Duration most, std::size_t fleet) noexcept
{
    return std::min(most, least + perProcess * static_cast<Duration::rep>(fleet));
}

} // namespace

Duration FeedTask::patience(std::size_t fleet) noexcept
{
    return grown(leastPatience, patiencePerProcess, mostPatience, fleet);
}

Duration FeedTask::patienceSpread(std::size_t fleet) noexcept
{
    return grown(leastSpread, spreadPerProcess, mostSpread, fleet);
}

FeedTask::FeedTask(boost::asio::io_context &context,
                   http::ResponseMemory &memory,
                   PublishedState &state,
                   StoreTask &store,
                   EventLog &log,
                   std::uint64_t seed,
                   Duration startPatience)
    : context_(context)
    , memory_(memory)
    , state_(state)
    , store_(store)
    , log_(log)
    , random_(seed)
    , heardAt_(BootClock::now())
    , storeFrom_(heardAt_ + startPatience)
{
}

FeedTask::~FeedTask()
{
    for (const auto &[peer, client] : clients_) {
        client->stop();
    }
}

void FeedTask::setReaders(std::span<const Address> others, bool isReader, std::size_t fleet)
{
    fleet_ = fleet;
    others_.assign(others.begin(), others.end());
    isReader_ = isReader;
    store_.setPatient(!isReader);
    onTick(BootClock::now());
}

void FeedTask::onTick(TimePoint now)
{
    updateClients();
    const bool isHealthy = isAnyHealthy(now);
    if (isHealthy || (isFollowingStore_ && store_.isConnected())) {
        heardAt_ = now;
    }
    if (isHealthy != wasHealthy_) {
        wasHealthy_ = isHealthy;
        const Duration spread(
            static_cast<Duration::rep>(random_.below(static_cast<std::uint64_t>(patienceSpread(fleet_).count()))));
        storeFrom_ = now + patience(fleet_) + spread;
    }
    if (isReader_) {
        follow(true, "reader");
    } else if (isHealthy) {
        follow(false, "other processes answer");
    } else if (now >= storeFrom_) {
        follow(true, "no other process answers");
    }
}

void FeedTask::updateClients()
{
    // A reader that has lost the store follows the other readers meanwhile.
    const bool wantsPeers = !isReader_ || !store_.isConnected();
    const Address *const main = others_.empty() ? nullptr : &others_.front();
    for (ClientMap::iterator client = clients_.begin(); client != clients_.end();) {
        const bool isWanted = wantsPeers && std::find(others_.begin(), others_.end(), client->first) != others_.end()
            && client->second->wantsItems() == (client->first == *main);
        if (isWanted) {
            ++client;
        } else {
            client->second->stop();
            client = clients_.erase(client);
        }
    }
    for (const Address &peer : others_) {
        if (!wantsPeers || clients_.contains(peer)) {
            continue;
        }
        const FeedClient::Hooks hooks{[this] { return completeRevision(); },
                                      [this](const FeedAnswer &answer) { take(answer); }};
        const std::shared_ptr<FeedClient> client
            = std::make_shared<FeedClient>(context_, memory_, peer, peer == *main, hooks);
        clients_.emplace(peer, client);
        client->start();
    }
}

std::uint64_t FeedTask::completeRevision() const
{
    return std::max(complete_, store_.completeAsOf().value_or(0));
}

std::optional<FeedSource> FeedTask::source(TimePoint now) const
{
    if (const std::optional<std::uint64_t> asOf = store_.completeAsOf()) {
        return FeedSource{*asOf, Duration{0}};
    }
    const ClientMap::const_iterator main = others_.empty() ? clients_.end() : clients_.find(others_.front());
    if (isReader_ || complete_ == 0 || main == clients_.end() || !main->second->isHealthy(now)) {
        return std::nullopt;
    }
    return FeedSource{complete_, main->second->age(now)};
}

bool FeedTask::isAnyHealthy(TimePoint now) const
{
    return std::any_of(
        clients_.begin(), clients_.end(), [now](const auto &client) { return client.second->isHealthy(now); });
}

void FeedTask::follow(bool store, const char *reason)
{
    if (isFollowingStore_ == store) {
        return;
    }
    isFollowingStore_ = store;
    log_.line(EventRank::Important, "source_changed")
        .text("source", store ? "store" : "other processes")
        .text("reason", reason)
        .count("revision", state_.revision());
    if (store) {
        store_.resume();
    } else {
        store_.pause();
    }
}

void FeedTask::take(const FeedAnswer &answer)
{
    const TimePoint now = BootClock::now();
    if (now - heardAt_ >= outageTime()) {
        state_.onStoreReturned(now);
    }
    heardAt_ = now;
    if (answer.isFull) {
        state_.beginList();
    }
    state_.apply(now, answer.items);
    if (answer.isFull) {
        state_.onListComplete(now, answer.asOf);
    }
    complete_ = std::max(complete_, answer.asOf);
    store_.adopt(complete_);
}

} // namespace sassafrasvane
