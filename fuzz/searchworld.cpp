#include "searchworld.h"

#include "base/random.h"

#include <algorithm>
#include <functional>

namespace sassafrasvane
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t daemonCount = 3;
constexpr std::uint32_t serverCount = 6;
constexpr std::uint64_t keySpace = 96;
constexpr std::uint32_t holdersEach = 2;
/// Time after which a domain or a searcher that is out or leaving may get no new work: the brief's few seconds.
constexpr Duration fewSeconds = 5s;
/// Time between two reads of the platform.
constexpr Duration readPeriod = 1s;
constexpr std::size_t publishedIndexes = 2;
constexpr const char *backEndName = "riders";
constexpr std::uint32_t loopback = 0x7f000001;
const char *const domains[] = {"a", "b", "c"};

/// A version whose division into parts and replicas depends on \p shape; the same part ids name other ranges.
IndexMap makeIndex(IndexVersion version, std::size_t shape)
{
    IndexMap index;
    index.version = version;
    const std::uint32_t count = 1 + static_cast<std::uint32_t>(shape % 5);
    std::uint64_t begin = 0;
    for (std::uint32_t i = 0; i < count; ++i) {
        const std::uint64_t left = keySpace - begin;
        const std::uint64_t last = count - i;
        const std::uint64_t width = last == 1 ? left : 1 + mix(version.value, i) % (2 * left / last - 2);
        const std::uint32_t first = static_cast<std::uint32_t>(mix(shape, i) % serverCount);
        const std::uint32_t second = (first + 1 + i % (serverCount - 1)) % serverCount;
        index.parts.push_back({PartId{i}, begin, begin + width, {SearcherId{first}, SearcherId{second}}});
        begin += width;
    }
    index.width = keySpace;
    return index;
}

/// The end of \p lost as its holder sees it: the connection broke, or was closed because the time was over.
EndOfCall brokenEnd(const CallToServer &lost, Errc error)
{
    const SearchCall &call = lost.call;
    EndOfCall end;
    end.call = lost;
    end.reply = {call.call, call.searcher, call.version, CallOutcome::Failed, error, true, {}};
    end.isConnectionLost = error == Errc::ConnectionLost;
    return end;
}

} // namespace

SearchWorld::SearchWorld(Property watched) : watched_(watched)
{
    for (std::uint32_t i = 0; i < serverCount; ++i) {
        servers_.emplace_back(SearcherId{i}, domains[i % std::size(domains)]);
    }
    for (std::size_t i = 0; i < daemonCount; ++i) {
        daemonIds_.push_back(daemonId({loopback, static_cast<std::uint16_t>(7000 + i)}));
        FakeDaemon::Hooks hooks;
        hooks.send = [this](SearchMessage message) { send(std::move(message)); };
        hooks.answer = [this](CallerQueryId caller, const QueryAnswer &answer) { oracle_.answered(caller, answer); };
        daemons_.push_back(std::make_unique<FakeDaemon>(i, daemonIds_.back(), hooks));
    }
    knowledge_.resize(daemonCount);
    for (std::size_t shape = 0; shape < publishedIndexes; ++shape) {
        publishIndex(1 + shape, 0);
        for (FakeSearcher &server : servers_) {
            server.load(maps_.back()->find(backEndName)->versions.front());
        }
    }
    for (const std::unique_ptr<FakeDaemon> &daemon : daemons_) {
        daemon->setView(now_, computeView(), daemonIds_);
        daemon->onAnswer(now_, now_, true);
    }
}

const std::vector<WorldAction<SearchWorld>> &SearchWorld::actions()
{
    static const std::vector<WorldAction<SearchWorld>> list{
        {"ask", 10, &SearchWorld::ask},
        {"askCrashing", 1, &SearchWorld::askCrashing},
        {"deliver", 40, &SearchWorld::deliver},
        {"deliverTwice", 3, &SearchWorld::deliverTwice},
        {"lose", 2, &SearchWorld::lose},
        {"cross", 2, &SearchWorld::cross},
        {"answerWhole", 16, &SearchWorld::answerWhole},
        {"endCall", 10, &SearchWorld::endCall},
        {"passTime", 6, &SearchWorld::passTime},
        {"publishIndex", 1, &SearchWorld::publishIndex},
        {"loadIndex", 4, &SearchWorld::loadIndex},
        {"unloadIndex", 2, &SearchWorld::unloadIndex},
        {"readValues", 2, &SearchWorld::readValues},
        {"togglePause", 1, &SearchWorld::togglePause},
        {"restartDaemon", 1, &SearchWorld::restartDaemon},
        {"restartServer", 1, &SearchWorld::restartServer},
        {"toggleServer", 1, &SearchWorld::toggleServer},
        {"toggleDomain", 1, &SearchWorld::toggleDomain},
        {"passSeconds", 2, &SearchWorld::passSeconds},
        {"takeDomainOut", 1, &SearchWorld::takeDomainOut},
        {"bringDomainsBack", 1, &SearchWorld::bringDomainsBack},
        {"toggleLeaving", 1, &SearchWorld::toggleLeaving},
        {"cutOff", 1, &SearchWorld::cutOff},
        {"togglePlatform", 1, &SearchWorld::togglePlatform},
        {"shareWarmth", 3, &SearchWorld::shareWarmth},
        {"serveCalmly", 3, &SearchWorld::serveCalmly},
        {"sleepThroughChange", 1, &SearchWorld::sleepThroughChange},
        {"restartBehindReport", 1, &SearchWorld::restartBehindReport},
        {"suspectDaemons", 1, &SearchWorld::suspectDaemons},
    };
    return list;
}

void SearchWorld::ask(std::size_t daemon, std::size_t terms)
{
    FakeDaemon &entry = daemonAt(daemon);
    if (entry.isPaused()) {
        return;
    }
    CallerAsk ask;
    ask.caller = ++lastCaller_;
    ask.terms.deadline = now_ + std::chrono::milliseconds(20 + terms % 100);
    ask.terms.hedgeAt = now_ + std::chrono::milliseconds(5 + terms % 20);
    ask.terms.earlyStopAt = now_ + std::chrono::milliseconds(terms % 30);
    ask.terms.quorum = 1 - static_cast<double>(terms % 3) * 0.25;
    ask.terms.hitLimit = 1 + terms % 40;
    oracle_.asked(ask.caller, ask.terms.hitLimit);
    if (!entry.ask(now_, ask)) {
        oracle_.abandoned(ask.caller);
    }
}

// A request that crashes each server that runs it, sent again by its caller to another entry.
void SearchWorld::askCrashing(std::size_t daemon, std::size_t terms)
{
    for (std::size_t i = 0; i < 2; ++i) {
        crashing_.insert(lastCaller_ + 1);
        ask(daemon + i, terms);
    }
}

void SearchWorld::deliver(std::size_t message, std::size_t)
{
    if (const std::optional<SearchMessage> taken = takeMessage(message)) {
        handle(*taken);
    }
}

// Requests travel on connections that never double them; their answers and cancellations may be doubled.
void SearchWorld::deliverTwice(std::size_t message, std::size_t)
{
    const std::optional<SearchMessage> taken = takeMessage(message);
    if (!taken) {
        return;
    }
    const bool isRequest = std::holds_alternative<CallToHolder>(*taken) || std::holds_alternative<CallToServer>(*taken);
    if (!isRequest) {
        network_.push_back(*taken);
    }
    handle(*taken);
}

// A message that is lost between a holder and a server takes their connection with it, which the holder sees.
void SearchWorld::lose(std::size_t message, std::size_t)
{
    const std::optional<SearchMessage> taken = takeMessage(message);
    if (!taken) {
        return;
    }
    if (const CallToServer *call = std::get_if<CallToServer>(&*taken)) {
        send(brokenEnd(*call, Errc::ConnectionLost));
    } else if (const EndOfCall *answer = std::get_if<EndOfCall>(&*taken)) {
        send(brokenEnd(answer->call, Errc::ConnectionLost));
    }
}

// A reply reaches another query of the same daemon.
void SearchWorld::cross(std::size_t message, std::size_t query)
{
    const std::optional<SearchMessage> taken = takeMessage(message);
    if (!taken) {
        return;
    }
    const ReplyToEntry *reply = std::get_if<ReplyToEntry>(&*taken);
    if (reply == nullptr) {
        handle(*taken);
        return;
    }
    ReplyToEntry crossed = *reply;
    crossed.origin.query.value = 1 + query % (reply->origin.query.value + 2);
    if (crossed.origin.query == reply->origin.query) {
        handle(*taken);
        return;
    }
    daemonAt(crossed.origin.daemon).onReply(now_, crossed);
}

void SearchWorld::endCall(std::size_t server, std::size_t kind)
{
    FakeSearcher &target = serverAt(server);
    if (target.running() > 0) {
        send(target.end(server / serverCount % target.running(), static_cast<AnswerKind>(kind % answerKinds)));
    }
}

void SearchWorld::answerWhole(std::size_t server, std::size_t)
{
    endCall(server, static_cast<std::size_t>(AnswerKind::Whole));
}

void SearchWorld::passTime(std::size_t milliseconds, std::size_t)
{
    moveTime(std::chrono::milliseconds(1 + milliseconds % 25));
}

void SearchWorld::passSeconds(std::size_t seconds, std::size_t)
{
    constexpr Duration step = 250ms;
    for (std::size_t i = 0; i < 1 + seconds % 28; ++i) {
        moveTime(step);
    }
}

void SearchWorld::moveTime(Duration time)
{
    now_ += time;
    for (FakeSearcher &server : servers_) {
        for (EndOfCall &end : server.dropExpired(now_)) {
            send(std::move(end));
        }
    }
    dropExpired();
    for (std::size_t i = 0; i < daemonCount; ++i) {
        if (daemons_[i]->isPaused()) {
            continue;
        }
        daemons_[i]->onTime(now_);
        if (daemons_[i]->takeRefresh() || now_ - knowledge_[i].lastReadAt >= readPeriod) {
            readPlatform(i);
        }
    }
}

// A holder closes the connection of a call whose deadline has passed, so that it cannot arrive any more.
void SearchWorld::dropExpired()
{
    for (SearchMessage &message : network_) {
        const CallToServer *call = std::get_if<CallToServer>(&message);
        if (call != nullptr && call->deadline <= now_) {
            message = brokenEnd(*call, Errc::Timeout);
        }
    }
}

void SearchWorld::readPlatform(std::size_t daemon)
{
    if (!canRead(daemon)) {
        return;
    }
    knowledge_[daemon].lastReadAt = now_;
    if (daemons_[daemon]->viewVersion() != view_.configuration->version) {
        daemons_[daemon]->setView(now_, computeView(), daemonIds_);
    }
    daemons_[daemon]->onAnswer(now_, now_, true);
}

void SearchWorld::publishIndex(std::size_t shape, std::size_t)
{
    const IndexVersion version{++lastIndex_};
    indexes_.insert(indexes_.begin(), makeIndex(version, shape));
    indexes_.resize(std::min(indexes_.size(), publishedIndexes));
    oracle_.published(indexes_.front());
    publish();
}

void SearchWorld::publish()
{
    BackEndMap backEnd;
    backEnd.name = backEndName;
    for (const FakeSearcher &server : servers_) {
        const std::uint16_t port = static_cast<std::uint16_t>(9000 + server.id().value);
        const ServerState state = leaving_.contains(server.id()) ? ServerState::Leaving : ServerState::Live;
        backEnd.searchers.push_back({server.id(), Address{loopback, port}, server.failureDomain(), state});
    }
    backEnd.versions = indexes_;
    const ConfigVersion version{++configVersion_};
    maps_.push_back(
        std::make_shared<const ShardMap>(ShardMap::Builder().backEnd(std::move(backEnd)).build(version).value()));
    Configuration configuration;
    configuration.version = version;
    configuration.backEnds.push_back({backEndName, searcherSlots, searcherSlots, Duration{0}, searcherColdAllowance});
    for (const auto &[domain, since] : domainsOut_) {
        configuration.domainsOut.push_back(domain);
    }
    view_.map = maps_.back();
    view_.configuration = std::make_shared<const Configuration>(std::move(configuration));
}

// Each daemon computes the table of holders by itself.
RouterView SearchWorld::computeView() const
{
    RouterView view = view_;
    view.holders = std::make_shared<const HolderTable>(
        HolderTable::Builder().map(*view.map).daemons(daemonIds_).holdersOf(backEndName, holdersEach).build());
    return view;
}

void SearchWorld::loadIndex(std::size_t server, std::size_t)
{
    serverAt(server).load(maps_.back()->find(backEndName)->versions.front());
}

void SearchWorld::unloadIndex(std::size_t server, std::size_t which)
{
    const std::uint64_t oldest = lastIndex_ > 2 ? lastIndex_ - 2 : 1;
    serverAt(server).unload(IndexVersion{oldest + which % 3});
}

void SearchWorld::readValues(std::size_t daemon, std::size_t)
{
    if (!daemonAt(daemon).isPaused()) {
        readPlatform(daemon % daemonCount);
    }
}

// An answer of the platform that arrives during the pause waits in the socket's buffer and is read after the wake-up.
void SearchWorld::togglePause(std::size_t daemon, std::size_t)
{
    FakeDaemon &target = daemonAt(daemon);
    Knowledge &knowledge = knowledge_[daemon % daemonCount];
    target.setPaused(!target.isPaused());
    if (target.isPaused()) {
        knowledge.bufferedView
            = canRead(daemon % daemonCount) ? std::optional<RouterView>(computeView()) : std::nullopt;
        knowledge.bufferedAt = now_;
    } else if (knowledge.bufferedView) {
        if (target.viewVersion() < knowledge.bufferedView->configuration->version) {
            target.setView(now_, *knowledge.bufferedView, daemonIds_);
        }
        target.onAnswer(now_, knowledge.bufferedAt, true);
        knowledge.bufferedView.reset();
    }
}

void SearchWorld::restartDaemon(std::size_t daemon, std::size_t)
{
    FakeDaemon &target = daemonAt(daemon);
    for (const CallerQueryId caller : target.restart(now_)) {
        oracle_.abandoned(caller);
    }
    target.setPaused(false);
    // Its connections are gone, with the requests on them.
    std::erase_if(network_, [&](const SearchMessage &message) {
        const CallToServer *call = std::get_if<CallToServer>(&message);
        return call != nullptr && call->holder == daemon % daemonCount;
    });
    knowledge_[daemon % daemonCount].bufferedView.reset();
    knowledge_[daemon % daemonCount].livesSeen.clear();
}

void SearchWorld::restartServer(std::size_t server, std::size_t)
{
    for (EndOfCall &end : serverAt(server).restart(now_)) {
        send(std::move(end));
    }
}

void SearchWorld::toggleServer(std::size_t server, std::size_t)
{
    FakeSearcher &target = serverAt(server);
    target.setDown(!target.isDown());
    restartServer(server, 0);
}

void SearchWorld::toggleDomain(std::size_t domain, std::size_t)
{
    const std::string name = domains[domain % std::size(domains)];
    for (std::size_t i = 0; i < servers_.size(); ++i) {
        if (servers_[i].failureDomain() == name) {
            toggleServer(i, 0);
        }
    }
}

void SearchWorld::takeDomainOut(std::size_t domain, std::size_t)
{
    domainsOut_.emplace(domains[domain % std::size(domains)], now_);
    publish();
}

void SearchWorld::bringDomainsBack(std::size_t, std::size_t)
{
    domainsOut_.clear();
    publish();
}

void SearchWorld::toggleLeaving(std::size_t server, std::size_t)
{
    const SearcherId id = serverAt(server).id();
    if (leaving_.erase(id) == 0) {
        leaving_.emplace(id, now_);
    }
    publish();
}

void SearchWorld::cutOff(std::size_t daemon, std::size_t)
{
    Knowledge &knowledge = knowledge_[daemon % daemonCount];
    knowledge.isCutOff = !knowledge.isCutOff;
    knowledge.reachableSince = now_;
}

void SearchWorld::togglePlatform(std::size_t, std::size_t)
{
    isPlatformDown_ = !isPlatformDown_;
    for (Knowledge &knowledge : knowledge_) {
        knowledge.reachableSince = now_;
    }
}

void SearchWorld::shareWarmth(std::size_t daemon, std::size_t)
{
    if (!daemonAt(daemon).isPaused()) {
        daemonAt(daemon).reportWarmth(now_);
    }
}

// Queries without a fault in between, so that searchers warm up.
void SearchWorld::serveCalmly(std::size_t daemon, std::size_t count)
{
    constexpr std::size_t mostQueries = 24;
    for (std::size_t i = 0; i < 1 + count % mostQueries; ++i) {
        ask(daemon + i, count + i);
        deliverAll();
        for (std::size_t server = 0; server < servers_.size(); ++server) {
            while (servers_[server].running() > 0) {
                answerWhole(server, 0);
            }
        }
        deliverAll();
        shareWarmth(daemon + i, 0);
        passTime(0, 0);
    }
}

// A daemon sleeps longer than any lease while a domain is taken out and a searcher begins to leave, and then goes on
// with what it has.
void SearchWorld::sleepThroughChange(std::size_t daemon, std::size_t place)
{
    constexpr std::size_t sevenSeconds = 27;
    if (daemonAt(daemon).isPaused()) {
        return;
    }
    togglePause(daemon, 0);
    takeDomainOut(place, 0);
    toggleLeaving(place, 0);
    passSeconds(sevenSeconds, 0);
    togglePause(daemon, 0);
    ask(daemon, place);
    ask(daemon, place + 1);
    deliverAll();
}

// Reports of an earlier life arrive after the searchers restarted and answered again.
void SearchWorld::restartBehindReport(std::size_t daemon, std::size_t terms)
{
    constexpr std::size_t manyQueries = 23;
    constexpr std::size_t fewQueries = 2;
    serveCalmly(daemon, manyQueries);
    for (std::size_t i = 0; i < daemonCount; ++i) {
        shareWarmth(i, 0);
    }
    const auto isReport = [](const SearchMessage &message) { return std::holds_alternative<WarmthToHolder>(message); };
    const auto firstReport = std::stable_partition(network_.begin(), network_.end(), std::not_fn(isReport));
    const std::vector<SearchMessage> reports(firstReport, network_.end());
    network_.erase(firstReport, network_.end());
    for (std::size_t server = 0; server < servers_.size(); ++server) {
        restartServer(server, 0);
    }
    serveCalmly(daemon, fewQueries);
    network_.insert(network_.end(), reports.begin(), reports.end());
    deliverAll();
    for (std::size_t i = 0; i < daemonCount; ++i) {
        ask(daemon + i, terms);
    }
    deliverAll();
    deliverAll();
}

void SearchWorld::deliverAll()
{
    for (std::size_t left = network_.size(); left > 0; --left) {
        deliver(0, 0);
    }
}

void SearchWorld::suspectDaemons(std::size_t daemon, std::size_t which)
{
    std::unordered_set<DaemonId> suspected;
    for (std::size_t i = 0; i < daemonCount; ++i) {
        if ((which >> i) % 2 == 1) {
            suspected.insert(daemonIds_[i]);
        }
    }
    daemonAt(daemon).setUnusableDaemons(std::move(suspected));
}

void SearchWorld::send(SearchMessage message)
{
    if (CallToServer *call = std::get_if<CallToServer>(&message)) {
        noteSent(*call);
    }
    network_.push_back(std::move(message));
}

// Judges a call at the moment at which its holder sends it.
void SearchWorld::noteSent(CallToServer &call)
{
    const FakeSearcher &server = servers_[call.call.searcher.value];
    const Knowledge &knowledge = knowledge_[call.holder];
    const auto mustKnow = [&](TimePoint since) {
        return canRead(call.holder) && now_ - std::max(since, knowledge.reachableSince) > fewSeconds;
    };
    const auto domain = domainsOut_.find(server.failureDomain());
    verdicts_.require(Property::DomainTakenOutGetsNoNewWork,
                      domain == domainsOut_.end() || !mustKnow(domain->second),
                      "new work for a failure domain that was taken out");
    const auto leaving = leaving_.find(server.id());
    verdicts_.require(Property::LeavingServerGetsNoNewWork,
                      leaving == leaving_.end() || !mustKnow(leaving->second),
                      "new work for a searcher that is leaving");
    const auto seen = knowledge.livesSeen.find(server.id());
    const bool hadTime = now_ > server.restartedAt() + ColdStart::doubtAfter();
    if (hadTime) {
        call.knownLife = server.incarnation();
    } else if (seen != knowledge.livesSeen.end()) {
        call.knownLife = seen->second;
    }
}

bool SearchWorld::isBlocked(const SearchMessage &message) const
{
    if (const CallToHolder *call = std::get_if<CallToHolder>(&message)) {
        return daemons_[call->holder]->isPaused();
    }
    if (const CancelToHolder *cancel = std::get_if<CancelToHolder>(&message)) {
        return daemons_[cancel->holder]->isPaused();
    }
    if (const EndOfCall *end = std::get_if<EndOfCall>(&message)) {
        return daemons_[end->call.holder]->isPaused();
    }
    if (const ReplyToEntry *reply = std::get_if<ReplyToEntry>(&message)) {
        return daemons_[reply->origin.daemon]->isPaused();
    }
    if (const WarmthToHolder *warmth = std::get_if<WarmthToHolder>(&message)) {
        return daemons_[warmth->holder]->isPaused();
    }
    return false;
}

// Messages arrive in any order; those to a paused daemon wait.
std::optional<SearchMessage> SearchWorld::takeMessage(std::size_t choice)
{
    if (network_.empty()) {
        return std::nullopt;
    }
    const std::size_t position = choice % network_.size();
    if (isBlocked(network_[position])) {
        return std::nullopt;
    }
    SearchMessage message = std::move(network_[position]);
    network_.erase(network_.begin() + static_cast<std::ptrdiff_t>(position));
    return message;
}

void SearchWorld::handle(const SearchMessage &message)
{
    if (const CallToHolder *call = std::get_if<CallToHolder>(&message)) {
        daemons_[call->holder]->onCall(now_, *call);
    } else if (const CancelToHolder *cancel = std::get_if<CancelToHolder>(&message)) {
        daemons_[cancel->holder]->onCancel(now_, *cancel);
    } else if (const CallToServer *toServer = std::get_if<CallToServer>(&message)) {
        runAt(servers_[toServer->call.searcher.value], *toServer);
    } else if (const EndOfCall *end = std::get_if<EndOfCall>(&message)) {
        noteEnd(*end);
        daemons_[end->call.holder]->onEnd(now_, *end);
    } else if (const WarmthToHolder *warmth = std::get_if<WarmthToHolder>(&message)) {
        // An older report is dropped by its carrier, which bounds the age that the gate is told.
        if (now_ - warmth->sentAt <= SearcherGate::maxReportAge()) {
            daemons_[warmth->holder]->onWarmth(now_, *warmth);
        }
    } else if (const ReplyToEntry *reply = std::get_if<ReplyToEntry>(&message)) {
        noteDelivery(*reply);
        daemons_[reply->origin.daemon]->onReply(now_, *reply);
    }
}

void SearchWorld::runAt(FakeSearcher &server, const CallToServer &call)
{
    if (std::optional<EndOfCall> end = server.take(call)) {
        send(std::move(*end));
        return;
    }
    oracle_.ran(call.origin.caller);
    verdicts_.require(Property::ColdServerNeverOverloaded,
                      server.running() <= searcherSlots,
                      "more calls at a searcher than it has slots");
    verdicts_.require(Property::ColdServerNeverOverloaded,
                      server.informedRunning() <= server.bearable(),
                      std::to_string(server.informedRunning()) + " calls at a searcher that bears "
                          + std::to_string(server.bearable()));
    if (crashing_.contains(call.origin.caller)) {
        restartServer(server.id().value, 0);
    }
}

// The holder learns of the present life by an answer of it, or by the end of a connection since it began.
void SearchWorld::noteEnd(const EndOfCall &end)
{
    if (daemons_[end.call.holder]->incarnation() != end.call.holderIncarnation) {
        return;
    }
    const FakeSearcher &server = servers_[end.reply.searcher.value];
    const bool isOfThisLife = end.serverIncarnation == server.incarnation() || end.isConnectionLost;
    if (isOfThisLife) {
        knowledge_[end.call.holder].livesSeen[server.id()] = server.incarnation();
    }
}

void SearchWorld::noteDelivery(const ReplyToEntry &reply)
{
    if (reply.reply.outcome != CallOutcome::Answered
        || reply.origin.incarnation != daemons_[reply.origin.daemon]->incarnation()) {
        return;
    }
    for (const PartResult &result : reply.reply.parts) {
        oracle_.delivered(reply.origin.caller, reply.reply.version, result.part);
    }
}

void SearchWorld::finish()
{
    isPlatformDown_ = false;
    for (std::size_t i = 0; i < daemonCount; ++i) {
        knowledge_[i].isCutOff = false;
        knowledge_[i].reachableSince = now_;
        daemons_[i]->setPaused(false);
    }
    for (FakeSearcher &server : servers_) {
        server.setDown(false);
    }
    constexpr int rounds = 30;
    for (int round = 0; round < rounds; ++round) {
        while (!network_.empty()) {
            deliver(0, 0);
        }
        for (std::size_t i = 0; i < servers_.size(); ++i) {
            answerWhole(i, 0);
        }
        passTime(static_cast<std::size_t>(round), 0);
    }
    oracle_.finished();
}

} // namespace sassafrasvane
