#include "searchworld.h"

#include "base/random.h"

#include <algorithm>

namespace sassafrasvane
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t daemonCount = 3;
constexpr std::uint32_t serverCount = 6;
constexpr std::uint64_t keySpace = 96;
constexpr std::uint32_t holdersEach = 2;
constexpr std::uint32_t slots = 2;
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
    publishIndex(1, 0);
    for (FakeSearcher &server : servers_) {
        server.load(maps_.back()->find(backEndName)->versions.front());
    }
    for (const std::unique_ptr<FakeDaemon> &daemon : daemons_) {
        daemon->setView(now_, view_, daemonIds_);
    }
}

const std::vector<WorldAction<SearchWorld>> &SearchWorld::actions()
{
    static const std::vector<WorldAction<SearchWorld>> list{
        {"ask", 8, &SearchWorld::ask},
        {"deliver", 40, &SearchWorld::deliver},
        {"deliverTwice", 3, &SearchWorld::deliverTwice},
        {"lose", 2, &SearchWorld::lose},
        {"cross", 2, &SearchWorld::cross},
        {"answerWhole", 16, &SearchWorld::answerWhole},
        {"endCall", 6, &SearchWorld::endCall},
        {"passTime", 6, &SearchWorld::passTime},
        {"publishIndex", 1, &SearchWorld::publishIndex},
        {"loadIndex", 3, &SearchWorld::loadIndex},
        {"unloadIndex", 1, &SearchWorld::unloadIndex},
        {"readValues", 2, &SearchWorld::readValues},
        {"togglePause", 1, &SearchWorld::togglePause},
        {"restartDaemon", 1, &SearchWorld::restartDaemon},
        {"restartServer", 1, &SearchWorld::restartServer},
        {"toggleServer", 1, &SearchWorld::toggleServer},
        {"toggleDomain", 1, &SearchWorld::toggleDomain},
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
    EndOfCall end;
    if (const CallToServer *call = std::get_if<CallToServer>(&*taken)) {
        end.call = *call;
    } else if (const EndOfCall *answer = std::get_if<EndOfCall>(&*taken)) {
        end.call = answer->call;
    } else {
        return;
    }
    const SearchCall &call = end.call.call;
    end.reply = {call.call, call.searcher, call.version, CallOutcome::Failed, Errc::ConnectionLost, true, {}};
    end.isConnectionLost = true;
    send(end);
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
    now_ += std::chrono::milliseconds(1 + milliseconds % 25);
    for (FakeSearcher &server : servers_) {
        for (EndOfCall &end : server.dropExpired(now_)) {
            send(std::move(end));
        }
    }
    for (const std::unique_ptr<FakeDaemon> &daemon : daemons_) {
        if (!daemon->isPaused()) {
            daemon->onTime(now_);
        }
    }
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
        backEnd.searchers.push_back({server.id(), Address{loopback, port}, server.failureDomain(), ServerState::Live});
    }
    backEnd.versions = indexes_;
    const ConfigVersion version{++configVersion_};
    maps_.push_back(
        std::make_shared<const ShardMap>(ShardMap::Builder().backEnd(std::move(backEnd)).build(version).value()));
    Configuration configuration;
    configuration.version = version;
    configuration.backEnds.push_back({backEndName, slots, slots, Duration{0}, 1});
    view_.map = maps_.back();
    view_.configuration = std::make_shared<const Configuration>(std::move(configuration));
    view_.holders = std::make_shared<const HolderTable>(
        HolderTable::Builder().map(*view_.map).daemons(daemonIds_).holdersOf(backEndName, holdersEach).build());
    view_.confirmedAt = now_;
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
    FakeDaemon &reader = daemonAt(daemon);
    if (!reader.isPaused()) {
        reader.setView(now_, view_, daemonIds_);
    }
}

void SearchWorld::togglePause(std::size_t daemon, std::size_t)
{
    FakeDaemon &target = daemonAt(daemon);
    target.setPaused(!target.isPaused());
}

void SearchWorld::restartDaemon(std::size_t daemon, std::size_t)
{
    FakeDaemon &target = daemonAt(daemon);
    for (const CallerQueryId caller : target.restart(now_)) {
        oracle_.abandoned(caller);
    }
    target.setPaused(false);
}

void SearchWorld::restartServer(std::size_t server, std::size_t)
{
    for (EndOfCall &end : serverAt(server).restart()) {
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
    network_.push_back(std::move(message));
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
        daemons_[end->call.holder]->onEnd(now_, *end);
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
    for (const std::unique_ptr<FakeDaemon> &daemon : daemons_) {
        daemon->setPaused(false);
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
