#include "searchworld.h"
#include "searchworldsizes.h"

#include "base/random.h"

#include <algorithm>

// What changes and fails around the queries.

namespace sassafrasvane
{

namespace
{

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

} // namespace sassafrasvane
