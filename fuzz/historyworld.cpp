#include "historyworld.h"

#include <fcntl.h>
#include <unistd.h>

namespace sassafrasvane
{

namespace
{

using namespace std::chrono_literals;

const std::string configurationKey = "op/configuration";
const std::string domainPrefix = "op/out/";
const std::string searcherPrefix = "servers/";
constexpr std::size_t contentCount = 3;
constexpr std::size_t maxCopies = 3;
/// As in FeedClient: how long a response counts, and the greatest age of what is served.
constexpr Duration maxAge = 2'800ms;
/// Time without a source after which a process turns to the store.
constexpr Duration fallbackDelay = 1s;
/// Registrations of removed searchers are kept for about a minute.
constexpr Duration memoryOfRemovals = 55s;
constexpr Duration calmStepTime = 200ms;
constexpr Duration settlingTime = 10s;

std::string domainName(std::size_t domain)
{
    return "d" + std::to_string(domain);
}

std::string searcherKey(std::size_t searcher)
{
    return searcherPrefix + std::to_string(searcher);
}

RoutingConfiguration readConfiguration(const std::string &value)
{
    RoutingConfiguration configuration;
    configuration.version = std::stoull(value);
    configuration.routes.resize(std::stoull(value.substr(value.find('/') + 1)));
    return configuration;
}

SearcherEntry readSearcher(const StoreItem &item)
{
    SearcherEntry entry;
    entry.instance = item.key.substr(searcherPrefix.size());
    entry.backend = "b" + entry.instance;
    entry.failureDomain = domainName(std::stoull(entry.instance) % 2);
    entry.startedAtMs = std::stoull(item.value);
    entry.sequence = std::stoull(item.value.substr(item.value.find('/') + 1));
    entry.isLeaving = item.value.ends_with('L');
    return entry;
}

EntryProtocol fakeProtocol()
{
    EntryProtocol protocol;
    protocol.readItem = [](const StoreItem &item) -> PublishedItem {
        if (item.key == configurationKey) {
            return readConfiguration(item.value);
        }
        if (item.key.starts_with(domainPrefix)) {
            return DomainOut{item.key.substr(domainPrefix.size())};
        }
        return readSearcher(item);
    };
    return protocol;
}

// What a part of the store that cannot state its epoch answers.
FakeStore::Answer withoutEpoch(FakeStore::Answer answer)
{
    const auto strip = [](auto &stated) {
        stated.asOf.epoch = 0;
        stated.isEpochStated = false;
        for (StoreItem &item : stated.items) {
            item.position.epoch = 0;
        }
    };
    if (StorePage *page = std::get_if<StorePage>(&answer)) {
        strip(*page);
    } else if (StoreChanges *changes = std::get_if<StoreChanges>(&answer)) {
        strip(*changes);
    }
    return answer;
}

// The epoch that an answer states, if it does.
std::optional<std::uint64_t> statedEpoch(const FakeStore::Answer &answer)
{
    const auto stated
        = [](const auto &read) { return read.isEpochStated ? std::optional(read.asOf.epoch) : std::nullopt; };
    if (const StorePage *page = std::get_if<StorePage>(&answer)) {
        return stated(*page);
    }
    const StoreChanges *changes = std::get_if<StoreChanges>(&answer);
    return changes ? stated(*changes) : std::nullopt;
}

} // namespace

HistoryWorld::HistoryWorld()
    : sink_(open("/dev/null", O_WRONLY | O_CLOEXEC)), log_(sink_, "vm"), protocol_(fakeProtocol())
{
    store_.put(configurationKey, "1/0");
    for (std::size_t searcher = 0; searcher < searcherCount; ++searcher) {
        registerSearcher(searcher, 0);
    }
    for (std::size_t number = 0; number < processCount; ++number) {
        processes_.at(number).number = number;
        start(processes_.at(number));
    }
    runCalm(2s);
    copyStore(0, 0);
}

HistoryWorld::~HistoryWorld()
{
    close(sink_);
}

const std::vector<WorldAction<HistoryWorld>> &HistoryWorld::actions()
{
    static const std::vector<WorldAction<HistoryWorld>> list{
        {"configure", 3, &HistoryWorld::configure},
        {"registerSearcher", 4, &HistoryWorld::registerSearcher},
        {"leave", 2, &HistoryWorld::leave},
        {"endSearcher", 2, &HistoryWorld::endSearcher},
        {"lapse", 1, &HistoryWorld::lapse},
        {"replaceSearcher", 2, &HistoryWorld::replaceSearcher},
        {"toggleDomain", 3, &HistoryWorld::toggleDomain},
        {"copyStore", 2, &HistoryWorld::copyStore},
        {"goBack", 2, &HistoryWorld::goBack},
        {"forgetHistory", 1, &HistoryWorld::forgetHistory},
        {"answerCall", 10, &HistoryWorld::answerCall},
        {"deliverAnswer", 10, &HistoryWorld::deliverAnswer},
        {"loseCall", 2, &HistoryWorld::loseCall},
        {"poll", 8, &HistoryWorld::poll},
        {"respond", 8, &HistoryWorld::respond},
        {"deliverResponse", 8, &HistoryWorld::deliverResponse},
        {"passTime", 8, &HistoryWorld::passTime},
        {"passCalmTime", 4, &HistoryWorld::passCalmTime},
        {"restart", 1, &HistoryWorld::restart},
        {"toggleStoreCut", 2, &HistoryWorld::toggleStoreCut},
        {"toggleCutOff", 2, &HistoryWorld::toggleCutOff},
    };
    return list;
}

// What the operator and the searchers write.

void HistoryWorld::configure(std::size_t isRewritten, std::size_t)
{
    const std::map<std::string, StoreItem>::const_iterator held = store_.items().find(configurationKey);
    const bool isLost = std::stoull(held->second.value) < version_;
    if (!isLost) {
        ++version_;
        content_ = (content_ + 1) % contentCount;
    } else if (isRewritten % 2 == 0) {
        // The number of the lost version goes to another configuration.
        content_ = (content_ + 1) % contentCount;
    }
    store_.put(configurationKey, std::to_string(version_) + "/" + std::to_string(content_));
    check();
}

void HistoryWorld::write(std::size_t searcher)
{
    Searcher &writer = searchers_.at(searcher);
    ++writer.registration.second;
    const std::string value = std::to_string(writer.registration.first) + "/"
        + std::to_string(writer.registration.second) + (writer.isLeaving ? "L" : "");
    store_.put(searcherKey(searcher), value);
}

void HistoryWorld::registerSearcher(std::size_t searcher, std::size_t)
{
    if (!searchers_.at(searcher % searcherCount).isGone) {
        write(searcher % searcherCount);
    }
}

void HistoryWorld::leave(std::size_t searcher, std::size_t)
{
    searchers_.at(searcher % searcherCount).isLeaving = true;
    registerSearcher(searcher, 0);
}

void HistoryWorld::endSearcher(std::size_t searcher, std::size_t)
{
    searchers_.at(searcher % searcherCount).isGone = true;
    lapse(searcher, 0);
}

void HistoryWorld::lapse(std::size_t searcher, std::size_t)
{
    store_.remove(searcherKey(searcher % searcherCount));
}

void HistoryWorld::replaceSearcher(std::size_t searcher, std::size_t)
{
    Searcher &replaced = searchers_.at(searcher % searcherCount);
    replaced = {{replaced.registration.first + 1, 0}, false, false};
    write(searcher % searcherCount);
}

void HistoryWorld::toggleDomain(std::size_t domain, std::size_t)
{
    const std::string name = domainName(domain % domainCount);
    Domain &toggled = domains_.at(domain % domainCount);
    toggled.isOut = !toggled.isOut;
    if (toggled.isOut) {
        store_.put(domainPrefix + name, "{}");
    } else {
        store_.remove(domainPrefix + name);
    }
    toggled.since = store_.position();
}

// What happens to the store and to the calls to it.

void HistoryWorld::copyStore(std::size_t, std::size_t)
{
    copies_.push_back(store_);
    if (copies_.size() > maxCopies) {
        copies_.erase(copies_.begin());
    }
}

void HistoryWorld::goBack(std::size_t copy, std::size_t lostHistoryBits)
{
    lostStore_ = store_;
    store_.goBack(copies_.at(copy % copies_.size()));
    for (Process &process : processes_) {
        process.hearsLostHistory = (lostHistoryBits >> process.number) % 2 == 1;
    }
}

void HistoryWorld::forgetHistory(std::size_t, std::size_t)
{
    store_.forgetHistory();
}

void HistoryWorld::answerCall(std::size_t process, std::size_t isGarbled)
{
    Process &caller = processes_.at(process % processCount);
    if (!caller.open || caller.open->answer || caller.isStoreCut) {
        return;
    }
    const FakeStore &store = caller.hearsLostHistory && lostStore_ ? *lostStore_ : store_;
    caller.open->answer = store.answer(caller.open->call);
    constexpr std::size_t garbledOutOf = 8;
    // Answers before the first that states its epoch count as epoch 0; nothing can be promised of them.
    if (caller.hasHeardEpoch && isGarbled % garbledOutOf == 1) {
        caller.open->answer = withoutEpoch(std::move(*caller.open->answer));
    }
}

void HistoryWorld::deliverAnswer(std::size_t process, std::size_t)
{
    Process &caller = processes_.at(process % processCount);
    if (caller.open && caller.open->answer && !caller.isStoreCut) {
        const FakeStore::Answer answer = std::move(*caller.open->answer);
        caller.open.reset();
        applyAnswer(caller, answer);
    }
    check();
}

void HistoryWorld::applyAnswer(Process &process, const FakeStore::Answer &answer)
{
    StoreActions actions;
    process.follower->noteEpoch(process.state->completePosition().epoch);
    const std::uint64_t knownEpoch = std::max(process.heardEpoch, process.state->completePosition().epoch);
    const std::optional<std::uint64_t> epoch = statedEpoch(answer);
    process.hasHeardEpoch = process.hasHeardEpoch || epoch.has_value();
    process.heardEpoch = std::max(knownEpoch, epoch.value_or(0));
    if (const StorePage *page = std::get_if<StorePage>(&answer)) {
        process.follower->onPage(now_, *page, actions);
    } else if (const StoreChanges *changes = std::get_if<StoreChanges>(&answer)) {
        process.follower->onChanges(now_, *changes, actions);
    } else {
        process.follower->onFailure(now_, std::get<StoreFailure>(answer), actions);
    }
    process.hasStoreFailed = !process.follower->isConnected();
    // Otherwise the process would serve what it knew as what the store holds.
    const bool isOfKnownEpoch = epoch ? *epoch >= knownEpoch : !process.hasHeardEpoch;
    require(process,
            std::holds_alternative<StoreFailure>(answer) || isOfKnownEpoch || process.hasStoreFailed,
            "takes an answer of an older epoch for the store's word");
    perform(process, std::move(actions));
}

void HistoryWorld::loseCall(std::size_t process, std::size_t)
{
    Process &caller = processes_.at(process % processCount);
    if (caller.open) {
        caller.open.reset();
        applyAnswer(caller, StoreFailure::Unreachable);
    }
    check();
}

void HistoryWorld::perform(Process &process, StoreActions actions)
{
    if (actions.hasStoreReturned) {
        process.state->onStoreReturned(now_);
    }
    process.state->apply(now_, actions.items);
    const StorePosition complete = process.follower->completeAsOf().value_or(StorePosition());
    if (actions.isListComplete) {
        process.state->onListComplete(now_, actions.listedKeys, complete);
    }
    process.state->setCompletePosition(complete);
    if (actions.call) {
        process.open = OpenCall{*actions.call, now_, std::nullopt};
    }
    process.wakeAt = actions.wakeAt ? actions.wakeAt : process.wakeAt;
}

// What the processes say to each other.

// A reader that has lost the store follows the other readers; the others follow the readers and one another.
bool HistoryWorld::followsPeers(const Process &process) const
{
    return process.number >= readerCount || !process.follower->isConnected();
}

bool HistoryWorld::hasSource(const Process &process) const
{
    return std::any_of(process.peers.begin(), process.peers.end(), [&](const auto &entry) {
        const Peer &peer = entry.second;
        return peer.confirmedAt && now_ - *peer.confirmedAt < maxAge
            && isSource(process.state->completePosition(), peer.position);
    });
}

// The age of what the process can serve to others; nothing if it is not fresh.
std::optional<Duration> HistoryWorld::confirmedAge(const Process &process) const
{
    if (process.follower->isConnected() && process.follower->completeAsOf()) {
        return Duration{0};
    }
    std::optional<Duration> age;
    for (const auto &[number, peer] : process.peers) {
        const bool isFresh = peer.confirmedAt && now_ - *peer.confirmedAt < maxAge
            && isSource(process.state->completePosition(), peer.position);
        if (process.number >= readerCount && isFresh && (!age || now_ - *peer.confirmedAt < *age)) {
            age = now_ - *peer.confirmedAt;
        }
    }
    return age;
}

FeedRequest HistoryWorld::requestTo(const Process &process, std::size_t peer) const
{
    FeedRequest request;
    request.acceptsUnconfirmed = !process.state->isComplete() && process.isFollowingStore && process.hasStoreFailed;
    const std::map<std::size_t, Peer>::const_iterator known = process.peers.find(peer);
    const StorePosition own = process.state->completePosition();
    // One peer delivers the items; of the others they are taken if they are ahead.
    const bool isAhead = known != process.peers.end() && known->second.position > own;
    request.wantsItems = isAhead || request.acceptsUnconfirmed || peer == 0 || process.number < readerCount;
    request.after = own;
    return request;
}

void HistoryWorld::poll(std::size_t process, std::size_t peer)
{
    Process &asking = processes_.at(process % processCount);
    const std::size_t asked = peer % processCount;
    const bool isOpen = std::any_of(polls_.begin(), polls_.end(), [&](const Poll &poll) {
        return poll.from == asking.number && poll.to == asked && poll.fromLife == asking.life;
    });
    if (asked != asking.number && followsPeers(asking) && !isOpen) {
        polls_.push_back({asking.number, asked, asking.life, requestTo(asking, asked), std::nullopt, now_});
    }
}

void HistoryWorld::respond(std::size_t poll, std::size_t)
{
    if (polls_.empty()) {
        return;
    }
    Poll &answered = polls_.at(poll % polls_.size());
    const Process &peer = processes_.at(answered.to);
    if (answered.response || peer.isCutOff || processes_.at(answered.from).isCutOff) {
        return;
    }
    const std::optional<Duration> age = confirmedAge(peer);
    FeedResponse response;
    if (age) {
        response = feedResponse(*peer.state, {peer.state->completePosition(), *age}, answered.request);
    } else if (answered.request.acceptsUnconfirmed && peer.state->isComplete()) {
        response = lastKnownResponse(*peer.state);
    } else {
        return;
    }
    answered.confirmedAt = now_ - response.age;
    answered.response = decodeFeedResponse(encodeFeedResponse(response)).value();
}

void HistoryWorld::deliverResponse(std::size_t poll, std::size_t)
{
    if (polls_.empty()) {
        return;
    }
    const std::size_t index = poll % polls_.size();
    const Poll delivered = polls_.at(index);
    polls_.erase(polls_.begin() + static_cast<std::ptrdiff_t>(index));
    Process &asking = processes_.at(delivered.from);
    if (delivered.response && delivered.fromLife == asking.life && !asking.isCutOff && followsPeers(asking)) {
        applyResponse(asking, delivered);
    }
    check();
}

void HistoryWorld::onContact(Process &process)
{
    if (now_ - process.lastContactAt >= StoreFollower::minOutageTime()) {
        process.state->onStoreReturned(now_);
    }
    process.areItemsUnconfirmed = false;
    process.lastContactAt = now_;
}

void HistoryWorld::applyResponse(Process &process, const Poll &poll)
{
    const FeedResponse &response = *poll.response;
    const StorePosition own = process.state->completePosition();
    if (!response.isConfirmed) {
        const bool isWanted = !process.state->isComplete() || (process.areItemsUnconfirmed && response.position > own);
        if (isWanted) {
            process.state->applySnapshot(now_, response.items, response.position);
            process.areItemsUnconfirmed = true;
        }
        return;
    }
    process.peers[poll.to] = {response.position, poll.confirmedAt};
    if (!isSource(own, response.position) || !poll.request.wantsItems) {
        return;
    }
    onContact(process);
    if (response.isSnapshot) {
        process.state->applySnapshot(now_, response.items, response.position);
    } else {
        process.state->apply(now_, response.items);
    }
    process.state->setCompletePosition(response.position);
    process.follower->adoptPosition(process.state->completePosition());
}

// Time and processes.

void HistoryWorld::start(Process &process)
{
    const std::size_t number = process.number;
    const std::uint64_t life = process.life + 1;
    process = Process();
    process.number = number;
    process.life = life;
    process.pool = std::make_unique<SearcherPool>("vm-" + std::to_string(number), domainName(0), PoolBounds(), number);
    process.state = std::make_unique<PublishedState>(protocol_, *process.pool, log_);
    process.follower.emplace(std::vector<std::string>{"op/", searcherPrefix}, number + life);
    process.follower->setSlowRetry(number >= readerCount);
    process.follower->pause();
    process.lastContactAt = now_;
    Process *const self = &process;
    process.state->setOnSearcherRemoved([this, self](const std::string &instance) {
        const std::size_t searcher = std::stoull(instance);
        std::optional<KnownLeft> &left = self->knownLeft.at(searcher);
        const Registration known = left ? left->registration : Registration();
        left = KnownLeft{std::max(known, lastSeen_[{self->number, searcher}]), now_};
    });
}

void HistoryWorld::chooseSource(Process &process)
{
    const bool isHealthy = hasSource(process);
    if (isHealthy || (process.isFollowingStore && process.follower->isConnected())) {
        onContact(process);
    }
    const bool isWanted = process.number < readerCount
        || (!isHealthy && (process.isFollowingStore || now_ - process.lastContactAt >= fallbackDelay));
    if (isWanted == process.isFollowingStore) {
        return;
    }
    process.isFollowingStore = isWanted;
    if (!isWanted) {
        process.follower->pause();
        process.open.reset();
        process.wakeAt.reset();
        return;
    }
    const bool isKnown = process.state->completePosition() > StorePosition();
    StoreActions actions;
    process.follower->resume(now_, isKnown ? std::optional(process.lastContactAt) : std::nullopt, actions);
    perform(process, std::move(actions));
}

void HistoryWorld::runTimers()
{
    for (Process &process : processes_) {
        process.state->onTick(now_);
        chooseSource(process);
        if (process.open && now_ - process.open->startedAt >= process.open->call.timeout) {
            process.open.reset();
            applyAnswer(process, StoreFailure::TimedOut);
        }
        if (process.isFollowingStore && process.wakeAt && *process.wakeAt <= now_) {
            process.wakeAt.reset();
            StoreActions actions;
            process.follower->onTimer(now_, actions);
            perform(process, std::move(actions));
        }
    }
    check();
}

void HistoryWorld::passTime(std::size_t milliseconds, std::size_t)
{
    now_ += std::chrono::milliseconds(1 + milliseconds * 3 / 2);
    runTimers();
}

void HistoryWorld::passCalmTime(std::size_t steps, std::size_t)
{
    constexpr std::size_t maxSteps = 20;
    for (std::size_t step = 0; step < 1 + steps % maxSteps; ++step) {
        calmStep();
    }
}

// Everything that is on its way arrives, as far as nothing is cut.
void HistoryWorld::calmStep()
{
    isCalm_ = true;
    now_ += calmStepTime;
    runTimers();
    for (std::size_t process = 0; process < processCount; ++process) {
        const std::optional<OpenCall> &open = processes_.at(process).open;
        if (open && (store_.hasNews(open->call) || now_ - open->startedAt >= open->call.wait)) {
            answerCall(process, 0);
        }
        deliverAnswer(process, 0);
        for (std::size_t peer = 0; peer < processCount; ++peer) {
            poll(process, peer);
        }
    }
    for (std::size_t count = polls_.size(); count > 0; --count) {
        respond(0, 0);
        deliverResponse(0, 0);
    }
    isCalm_ = false;
    check();
}

void HistoryWorld::runCalm(Duration duration)
{
    const TimePoint end = now_ + duration;
    while (now_ < end) {
        calmStep();
    }
}

void HistoryWorld::restart(std::size_t process, std::size_t)
{
    Process &restarted = processes_.at(process % processCount);
    const std::size_t number = restarted.number;
    std::erase_if(lastSeen_, [number](const auto &entry) { return entry.first.first == number; });
    start(restarted);
}

void HistoryWorld::toggleStoreCut(std::size_t process, std::size_t)
{
    processes_.at(process % processCount).isStoreCut ^= true;
}

void HistoryWorld::toggleCutOff(std::size_t process, std::size_t)
{
    processes_.at(process % processCount).isCutOff ^= true;
}

// The oracle.

bool HistoryWorld::isUsable(Process &process, std::size_t searcher) const
{
    return process.pool->hasAvailableSearcher(now_, process.pool->backend("b" + std::to_string(searcher)));
}

HistoryWorld::Registration HistoryWorld::registrationAt(const Process &process, std::size_t searcher) const
{
    const std::shared_ptr<TrackedSearcher> found = process.pool->find(std::to_string(searcher));
    return found ? Registration(found->entry().startedAtMs, found->entry().sequence) : Registration();
}

void HistoryWorld::require(const Process &process, bool holds, const std::string &what)
{
    verdicts_.require(
        Property::StoreHistoryIsFollowed, holds, "process " + std::to_string(process.number) + " " + what);
}

void HistoryWorld::check()
{
    for (Process &process : processes_) {
        // In calm once a step is enough.
        if (process.state && !isCalm_) {
            checkVersion(process);
            checkDomains(process);
            checkSearchers(process);
        }
    }
}

void HistoryWorld::checkVersion(Process &process)
{
    const std::uint64_t version = process.state->routes() ? process.state->routes()->version() : 0;
    require(process, version >= process.version, "goes back to version " + std::to_string(version));
    process.version = version;
}

void HistoryWorld::checkDomains(Process &process)
{
    const std::vector<StoreItem> items = process.state->items();
    for (std::size_t domain = 0; domain < domainCount; ++domain) {
        std::optional<KnownOut> &known = process.knownOut.at(domain);
        const std::string key = domainPrefix + domainName(domain);
        const std::vector<StoreItem>::const_iterator item
            = std::find_if(items.begin(), items.end(), [&](const StoreItem &each) { return each.key == key; });
        if (item != items.end() && (!known || known->position != item->position)) {
            known = KnownOut{item->position, std::nullopt};
        } else if (item == items.end() && known && !known->absentSince) {
            known->absentSince = now_;
        }
        const Domain &wanted = domains_.at(domain);
        // What was known of an earlier evacuation says nothing of this one.
        const bool isOther = known && (!wanted.isOut || known->position < wanted.since);
        const bool isForgotten
            = known && known->absentSince && now_ - *known->absentSince >= PublishedState::domainKeepTime();
        if (isOther || isForgotten) {
            known.reset();
        }
        for (std::size_t searcher = domain; known && searcher < searcherCount; searcher += domainCount) {
            require(process, !isUsable(process, searcher), "uses " + domainName(domain) + ", which is out");
        }
    }
}

void HistoryWorld::checkSearchers(Process &process)
{
    for (std::size_t searcher = 0; searcher < searcherCount; ++searcher) {
        const Registration registration = registrationAt(process, searcher);
        std::optional<KnownLeft> &left = process.knownLeft.at(searcher);
        if (left && now_ - left->knownAt >= memoryOfRemovals) {
            left.reset();
        }
        const std::shared_ptr<TrackedSearcher> found = process.pool->find(std::to_string(searcher));
        if (found) {
            lastSeen_[{process.number, searcher}] = registration;
        }
        if (found && found->entry().isLeaving) {
            left = KnownLeft{std::max(registration, left ? left->registration : Registration()), now_};
        }
        require(process,
                !left || registration > left->registration || !isUsable(process, searcher),
                "uses searcher " + std::to_string(searcher) + ", which has left");
    }
}

void HistoryWorld::checkKnowsStore(Process &process)
{
    require(process, process.state->completePosition() == store_.position(), "does not know the store's position");
    const std::vector<StoreItem> items = process.state->items();
    require(process, items.size() == store_.items().size(), "knows other items than the store");
    for (const StoreItem &item : items) {
        const std::map<std::string, StoreItem>::const_iterator held = store_.items().find(item.key);
        require(process, held != store_.items().end() && held->second.value == item.value, "has an old " + item.key);
    }
}

void HistoryWorld::checkServes(Process &process)
{
    const std::shared_ptr<const RouteTable> &routes = process.state->routes();
    require(process, routes && routes->version() == version_, "does not have the last version");
    require(process,
            routes && routes->configuration().routes.size() == content_,
            "has another configuration under the last version");
    for (std::size_t searcher = 0; searcher < searcherCount; ++searcher) {
        const Searcher &is = searchers_.at(searcher);
        const bool isServing = !is.isGone && !is.isLeaving && !domains_.at(searcher % domainCount).isOut;
        require(process,
                isUsable(process, searcher) == isServing,
                (isServing ? "does not use searcher " : "uses searcher ") + std::to_string(searcher));
    }
}

// What the copy had lost is written again.
void HistoryWorld::writeAgain()
{
    store_.put(configurationKey, std::to_string(version_) + "/" + std::to_string(content_));
    for (std::size_t domain = 0; domain < domainCount; ++domain) {
        const std::string key = domainPrefix + domainName(domain);
        if (domains_.at(domain).isOut) {
            store_.put(key, "{}");
        } else {
            store_.remove(key);
        }
    }
    for (std::size_t searcher = 0; searcher < searcherCount; ++searcher) {
        if (searchers_.at(searcher).isGone) {
            store_.remove(searcherKey(searcher));
        } else {
            write(searcher);
        }
    }
}

void HistoryWorld::finish()
{
    lostStore_.reset();
    for (Process &process : processes_) {
        process.isStoreCut = false;
        process.isCutOff = false;
    }
    runCalm(settlingTime);
    for (Process &process : processes_) {
        checkKnowsStore(process);
    }
    writeAgain();
    runCalm(settlingTime);
    now_ += PublishedState::domainKeepTime();
    runCalm(settlingTime);
    for (Process &process : processes_) {
        checkKnowsStore(process);
        checkServes(process);
    }
}

} // namespace sassafrasvane
