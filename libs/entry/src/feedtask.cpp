#include "entry/feedtask.h"

#include <algorithm>

namespace sassafrasvane
{

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

void FeedTask::setReaders(std::span<const Address> others, bool isReader)
{
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
            static_cast<Duration::rep>(random_.below(static_cast<std::uint64_t>(patienceSpread().count()))));
        storeFrom_ = now + patience() + spread;
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
