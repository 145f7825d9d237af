#include "entry/entryprocess.h"

#include "entry/crashwatch.h"
#include "entry/dispatcher.h"
#include "entry/entryserver.h"
#include "entry/feedserver.h"
#include "entry/feedtask.h"
#include "entry/peertask.h"
#include "entry/plannedstop.h"
#include "entry/publishedstate.h"
#include "entry/storetask.h"
#include "entryhttpservers.h"
#include "metricstext.h"
#include "observe/eventlog.h"
#include "placement/searcherpool.h"
#include "settings/settingsfile.h"
#include "tenancy/tenantquotas.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <optional>

namespace sassafrasvane
{

namespace
{

/// Interval of the periodic work in onTick().
constexpr Duration tickPeriod = std::chrono::milliseconds(50);
/// Ticks between two calls of onSlowTick().
constexpr unsigned slowTickInterval = 10;
/// Ticks between two calls of Dispatcher::openMissingConnections().
constexpr unsigned connectionTickInterval = 3;
/// Maximum time for which callers may cache the list of entry VMs.
constexpr Duration directoryLifetime = std::chrono::seconds(5);
/// At the first start of the deployment, member discovery ends when no member has appeared for memberQuietPeriod, at
/// the latest after maxMemberDiscovery.
constexpr Duration memberQuietPeriod = std::chrono::milliseconds(600);
constexpr Duration maxMemberDiscovery = std::chrono::milliseconds(2'000);
/// A longer time between two ticks means that the process was paused.
constexpr Duration maxTickDelay = std::chrono::milliseconds(1'500);
/// Share of the VM's memory for searchers' responses.
constexpr double responseMemoryShare = 0.2;
/// Share of the VM's memory for responses of the store and of other entry processes. A single one may have half of what
/// is left: the changes of some seconds can hold many versions of a large configuration.
constexpr double feedMemoryShare = 0.125;
constexpr double maxFeedResponseShare = 0.5;
/// Authenticates messages between the entry processes of one private network.
constexpr const char *peerKey = "sassafrasvane-entry-peers";

PoolBounds poolBounds(const EntryBounds &bounds)
{
    PoolBounds pool;
    pool.retryRatio = bounds.retryRatio;
    pool.retrySlack = bounds.retrySlack;
    pool.coldFactor = bounds.coldFactor;
    pool.coldSlack = bounds.coldSlack;
    return pool;
}

QuotaTolerance quotaTolerance(const EntryBounds &bounds)
{
    return {bounds.quotaWindow, bounds.quotaOverage, bounds.quotaSlack};
}

std::size_t memoryBytes(const EntrySettings &settings, double share)
{
    constexpr double bytesPerMb = 1'048'576;
    return static_cast<std::size_t>(static_cast<double>(settings.memoryMb) * bytesPerMb * share);
}

Address peerAddressOf(const EntrySettings &settings)
{
    return {settings.listeners.control.ip, settings.peerPort};
}

/// The sources from which this process receives the store's items.
struct FeedAssignment {
    /// Control addresses of the peers to poll, preferred one first.
    std::vector<Address> peers;
    /// True if this process reads the store itself.
    bool isReader = false;
};

} // namespace

class EntryProcess::Implementation
{
public:
    Implementation(const EntrySettings &settings, std::string settingsPath, EntryProtocol protocol)
        : settings_(settings)
        , settingsFile_(std::move(settingsPath))
        , protocol_(std::move(protocol))
        , log_(STDOUT_FILENO, settings.vm)
        , seed_(mix(daemonId(peerAddressOf(settings)).value, wallClockMicros()))
        , searcherMemory_(memoryBytes(settings, responseMemoryShare))
        , feedMemory_(memoryBytes(settings, feedMemoryShare), maxFeedResponseShare)
        , pool_(peerAddressOf(settings).toString(), settings.failureDomain, poolBounds(settings.bounds), seed_)
        , dispatcher_(context_, searcherMemory_, protocol_, pool_, log_)
        , state_(protocol_, pool_, log_)
        , crashes_(mix(seed_, 3), log_)
        , quotas_(TenantQuotas::Builder()
                      .self(daemonId(peerAddressOf(settings)))
                      .tolerance(quotaTolerance(settings.bounds))
                      .seed(mix(seed_, 4))
                      .build(BootClock::now()))
        , entry_(context_, protocol_, pool_, dispatcher_, crashes_, quotas_, state_, log_, mix(seed_, 2))
        , store_(context_, feedMemory_, protocol_, settings.store, mix(seed_), state_, log_)
        , feedServer_(state_, store_, [this](TimePoint now) { return feed_.confirmedPosition(now); })
        , feed_(context_, feedMemory_, state_, store_, log_, mix(seed_, 1), startFallbackDelay())
        , signals_(context_, SIGTERM, SIGINT, SIGHUP)
        , ticker_(context_)
    {
    }

    Result<void> open();
    int run();

private:
    using ExchangePtr = std::shared_ptr<http::Exchange>;

    void answerReadiness(const ExchangePtr &exchange) const;
    void answerDirectory(const ExchangePtr &exchange) const;
    void answerControl(const ExchangePtr &exchange);
    void answerMetrics(const ExchangePtr &exchange);
    void onMembers();
    std::vector<DaemonId> quotaParticipants(TimePoint now, const Fleet &fleet) const;
    std::vector<DaemonId> otherSeeds() const;
    FeedAssignment assignFeedPeers() const;
    Address controlAddressOf(DaemonId daemon) const;
    Duration startFallbackDelay() const noexcept
    {
        return settings_.isFirstStart ? FeedTask::firstStartFallbackDelay() : FeedTask::startFallbackDelay();
    }
    bool isReady() const noexcept { return !stop_.hasBegun() && state_.routes() != nullptr && state_.isComplete(); }
    void waitForSignal();
    void onSignal(int signal);
    void beginStop();
    void continueStop(TimePoint now);
    void endStop();
    void reload(const char *trigger);
    void setSeeds();
    void tick();
    void onTick();
    void runLoop();
    void onSlowTick(TimePoint now);
    void logShedClients();

    EntrySettings settings_;
    SettingsFile settingsFile_;
    EntryProtocol protocol_;
    boost::asio::io_context context_{1};
    EventLog log_;
    std::uint64_t seed_;
    http::ResponseMemory searcherMemory_;
    http::ResponseMemory feedMemory_;
    SearcherPool pool_;
    Dispatcher dispatcher_;
    PublishedState state_;
    CrashWatch crashes_;
    TenantQuotas quotas_;
    EntryServer entry_;
    StoreTask store_;
    FeedServer feedServer_;
    FeedTask feed_;
    std::unique_ptr<PeerTask> peers_;
    detail::EntryHttpServers httpServers_;
    boost::asio::signal_set signals_;
    boost::asio::steady_timer ticker_;
    TimePoint startedAt_ = BootClock::now();
    TimePoint membersChangedAt_ = startedAt_;
    TimePoint lastTick_ = BootClock::now();
    unsigned ticks_ = 0;
    /// Clients that the log has told of as refused or closed.
    std::uint64_t loggedShedClients_ = 0;
    /// True if this process is advertised to callers.
    bool isAdvertised_ = false;
    PlannedStop stop_;
};

Result<void> EntryProcess::Implementation::open()
{
    detail::EntryHandlers handlers;
    handlers.callers = [this](const ExchangePtr &exchange) { entry_.handle(exchange); };
    handlers.readiness = [this](const ExchangePtr &exchange) { answerReadiness(exchange); };
    handlers.directory = [this](const ExchangePtr &exchange) { answerDirectory(exchange); };
    handlers.control = [this](const ExchangePtr &exchange) { answerControl(exchange); };
    handlers.metrics = [this](const ExchangePtr &exchange) { answerMetrics(exchange); };
    handlers.filterCallersHead = [this](const http::Request &head) { return entry_.refuseHead(head); };
    handlers.overloadResponse = [this] { return entry_.overloadResponse(); };
    const Result<void> opened = httpServers_.open(context_, settings_, handlers);
    if (opened.has_error()) {
        return opened.error();
    }
    EntryIdentity identity;
    identity.peer = peerAddressOf(settings_);
    identity.callerAddress = settings_.listeners.callers;
    identity.failureDomain = settings_.failureDomain;
    identity.region = settings_.region;
    identity.capacity = static_cast<std::uint16_t>(std::min(settings_.processorShare * 100, 10'000.0));
    identity.key = peerKey;
    Result<std::unique_ptr<PeerTask>> peers = PeerTask::create(context_, identity, log_);
    if (peers.has_error()) {
        return peers.error();
    }
    peers_ = std::move(peers.value());
    return boost::outcome_v2::success();
}

int EntryProcess::Implementation::run()
{
    log_.line(EventRank::Important, "process_started")
        .text("callers", settings_.listeners.callers.toString())
        .text("failure_domain", settings_.failureDomain)
        .text("settings", settingsFile_.path());
    state_.setOnConfiguration([this](const RouteTable &routes) {
        httpServers_.setCallerLimits(routes.configuration().callerLimits);
        entry_.onConfiguration(routes);
    });
    state_.setOnSearcherRemoved([this](const std::string &instance) { dispatcher_.closeIdleConnections(instance); });
    peers_->setOnMembers([this] {
        membersChangedAt_ = BootClock::now();
        onMembers();
    });
    peers_->setCrashHooks([this](std::span<const CrashEntry> entries) { crashes_.merge(BootClock::now(), entries); },
                          [this] { return crashes_.entries(BootClock::now()); });
    peers_->setQuotaHooks(
        [this](DaemonId peer, const QuotaReport &report) { quotas_.onReport(BootClock::now(), peer, report); },
        [this] { return quotas_.dueReports(BootClock::now()); },
        [this] { return quotas_.recipients(BootClock::now()); });
    crashes_.setBroadcastEvidence([this](std::span<const CrashEntry> entries) { peers_->broadcastCrashes(entries); });
    setSeeds();
    peers_->start();
    onMembers();
    waitForSignal();
    tick();
    runLoop();
    log_.line(EventRank::Important, "process_stopped").count("open_requests", entry_.openRequests());
    log_.flush();
    return 0;
}

// An exception from a handler is logged and the loop goes on; the handler's unfinished work ends by its timeouts.
void EntryProcess::Implementation::runLoop()
{
    while (!context_.stopped()) {
        try {
            context_.run();
        } catch (const std::exception &exception) {
            log_.unexpectedError(exception);
        }
    }
}

void EntryProcess::Implementation::answerReadiness(const ExchangePtr &exchange) const
{
    constexpr unsigned ok = 200;
    constexpr unsigned unavailable = 503;
    exchange->respond(http::emptyResponse(isReady() ? ok : unavailable));
}

void EntryProcess::Implementation::answerDirectory(const ExchangePtr &exchange) const
{
    constexpr unsigned notFound = 404;
    const std::optional<DirectoryRequest> request = protocol_.readDirectoryRequest(exchange->request());
    if (!request) {
        exchange->respond(http::emptyResponse(notFound));
        return;
    }
    const std::vector<Address> addresses = peers_->callerAddresses(BootClock::now());
    exchange->respond(
        protocol_.writeDirectoryResponse(addresses, std::min(directoryLifetime, settings_.bounds.directoryLifetime)));
}

void EntryProcess::Implementation::answerMetrics(const ExchangePtr &exchange)
{
    const detail::MetricsSources sources{
        entry_, dispatcher_, pool_, crashes_, state_, store_, *peers_, httpServers_, log_, searcherMemory_};
    exchange->respond(http::textResponse(200, "text/plain; version=0.0.4", detail::metricsText(sources)));
}

void EntryProcess::Implementation::answerControl(const ExchangePtr &exchange)
{
    constexpr unsigned notFound = 404;
    if (!feedServer_.handle(exchange)) {
        exchange->respond(http::emptyResponse(notFound));
    }
}

void EntryProcess::Implementation::onMembers()
{
    const TimePoint now = BootClock::now();
    if (const std::shared_ptr<const RouteTable> routes = state_.routes()) {
        peers_->setQueryDomains(queryDomains(*routes, pool_));
    }
    AdvertisedMembers advertised = peers_->advertisedMembers(now);
    advertised.fleet.isIsolated = peers_->reachableCount() == 1 && !otherSeeds().empty();
    pool_.setFleet(now, advertised.fleet);
    quotas_.setParticipants(now, quotaParticipants(now, advertised.fleet));
    isAdvertised_ = advertised.hasSelf;
    // Until peers are known, the process polls the seeds, for at most startFallbackDelay() after the start.
    const bool isAlone = peers_->reachableCount() == 1 && now - startedAt_ < startFallbackDelay();
    // While only some of the members are known, far too many processes would choose themselves as readers.
    const bool isDiscoveringMembers = settings_.isFirstStart && now - startedAt_ < maxMemberDiscovery
        && now - membersChangedAt_ < memberQuietPeriod;
    FeedAssignment feed = isAlone || isDiscoveringMembers ? FeedAssignment{settings_.seeds, false} : assignFeedPeers();
    std::erase(feed.peers, settings_.listeners.control);
    feed_.setPeers(feed.peers, feed.isReader, peers_->reachableCount());
}

// A process that has just started or is isolated knows only some of the VMs that are advertised. It would take itself
// for one of a majority if it did not count the seeds too.
std::vector<DaemonId> EntryProcess::Implementation::quotaParticipants(TimePoint now, const Fleet &fleet) const
{
    std::vector<DaemonId> participants;
    for (const std::string &sharer : fleet.sharers) {
        const Result<Address> address = Address::parse(sharer);
        if (address.has_value() && !peers_->hasLeft(daemonId(address.value()))) {
            participants.push_back(daemonId(address.value()));
        }
    }
    if (peers_->reachableCount() == 1 || now - startedAt_ < PeerTask::quotaShareRetention()) {
        const std::vector<DaemonId> seeds = otherSeeds();
        participants.insert(participants.end(), seeds.begin(), seeds.end());
    }
    return participants;
}

// The processes that the seeds name, without this one.
std::vector<DaemonId> EntryProcess::Implementation::otherSeeds() const
{
    std::vector<DaemonId> seeds;
    for (const Address &seed : settings_.seeds) {
        const DaemonId daemon = daemonId(Address{seed.ip, settings_.peerPort});
        if (daemon != peers_->self()) {
            seeds.push_back(daemon);
        }
    }
    return seeds;
}

// The first peer delivers the changed items. One in the same failure domain is preferred, because traffic between
// failure domains is costly.
FeedAssignment EntryProcess::Implementation::assignFeedPeers() const
{
    FeedAssignment assignment;
    bool hasNear = false;
    for (const SubsetCandidate &reader : peers_->readers(FeedTask::readerCount())) {
        if (reader.daemon == peers_->self()) {
            assignment.isReader = true;
            continue;
        }
        const bool isNear = reader.failureDomain == settings_.failureDomain;
        assignment.peers.insert(isNear ? assignment.peers.begin() : assignment.peers.end(),
                                controlAddressOf(reader.daemon));
        hasNear = hasNear || isNear;
    }
    const std::optional<DaemonId> relay = assignment.isReader || hasNear ? std::nullopt : peers_->relay();
    if (relay && *relay != peers_->self()) {
        assignment.peers.insert(assignment.peers.begin(), controlAddressOf(*relay));
    }
    return assignment;
}

Address EntryProcess::Implementation::controlAddressOf(DaemonId daemon) const
{
    return {peerAddress(daemon).ip, settings_.listeners.control.port};
}

void EntryProcess::Implementation::waitForSignal()
{
    signals_.async_wait([this](const boost::system::error_code &error, int signal) {
        if (!error) {
            waitForSignal();
            onSignal(signal);
        }
    });
}

void EntryProcess::Implementation::onSignal(int signal)
{
    if (signal == SIGHUP) {
        // Remembers the present state of the file, so that the next slow tick does not reload it again.
        settingsFile_.hasChanged();
        reload("signal");
    } else if (!stop_.hasBegun()) {
        beginStop();
    }
}

void EntryProcess::Implementation::reload(const char *trigger)
{
    const Result<EntrySettings> settings = readEntrySettingsFile(settingsFile_.path());
    if (settings.has_error()) {
        log_.line(EventRank::Important, "settings_refused").text("trigger", trigger).error(settings.error());
        return;
    }
    settings_.seeds = settings.value().seeds;
    settings_.bounds = settings.value().bounds;
    pool_.setBounds(poolBounds(settings_.bounds));
    quotas_.setTolerance(BootClock::now(), quotaTolerance(settings_.bounds));
    log_.line(EventRank::Important, "settings_reloaded")
        .text("trigger", trigger)
        .count("seeds", settings_.seeds.size());
    setSeeds();
}

void EntryProcess::Implementation::setSeeds()
{
    std::vector<Address> peers;
    for (const Address &seed : settings_.seeds) {
        peers.push_back({seed.ip, settings_.peerPort});
    }
    peers_->setSeeds(peers);
}

void EntryProcess::Implementation::beginStop()
{
    stop_.begin(BootClock::now(), settings_.bounds.stopGrace);
    log_.line(EventRank::Important, "stop_begun").count("open_requests", entry_.openRequests());
    peers_->leave();
    httpServers_.callers().closeAfterResponses();
}

void EntryProcess::Implementation::continueStop(TimePoint now)
{
    switch (stop_.next(now, httpServers_.callers().counters().openConnections)) {
    case StopStep::Serve:
        break;
    case StopStep::StopAccepting:
        httpServers_.callers().stopAccepting();
        httpServers_.callers().closeIdle();
        entry_.refuseRequestsEndingAfter(stop_.lastAnswerAt());
        break;
    case StopStep::EndRequests:
        entry_.endRequests();
        break;
    case StopStep::CloseIdle:
        httpServers_.callers().closeIdle();
        break;
    case StopStep::End:
        endStop();
        break;
    }
}

void EntryProcess::Implementation::endStop()
{
    peers_->stop();
    store_.pause();
    signals_.cancel();
    ticker_.cancel();
    context_.stop();
}

void EntryProcess::Implementation::tick()
{
    ticker_.expires_after(tickPeriod);
    ticker_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            tick();
            onTick();
        }
    });
}

void EntryProcess::Implementation::onTick()
{
    const TimePoint now = BootClock::now();
    if (now - lastTick_ > maxTickDelay) {
        log_.line(EventRank::Important, "process_paused").milliseconds("pause_ms", now - lastTick_);
        store_.reconnect();
    }
    lastTick_ = now;
    dispatcher_.onTick(now);
    entry_.onTick(now);
    state_.onTick(now);
    feed_.onTick(now);
    feedServer_.onTick(now);
    peers_->onTick(now);
    ++ticks_;
    if (isAdvertised_ && ticks_ % connectionTickInterval == 0) {
        dispatcher_.openMissingConnections(now);
    }
    if (ticks_ % slowTickInterval == 0) {
        onSlowTick(now);
    }
    if (stop_.hasBegun()) {
        continueStop(now);
    }
    log_.flush();
}

void EntryProcess::Implementation::onSlowTick(TimePoint now)
{
    httpServers_.closeExpired(now);
    logShedClients();
    crashes_.onTick(now);
    dispatcher_.reportLimitedSearchers(now);
    peers_->refreshMembers();
    onMembers();
    if (settingsFile_.hasChanged()) {
        reload("file");
    }
}

// One line for all clients since the last tick: many at once must not fill the log.
void EntryProcess::Implementation::logShedClients()
{
    const http::ServerCounters servers = httpServers_.counters();
    const http::RequestMemory &memory = httpServers_.requestMemory();
    const http::RequestMemoryCounters &counters = memory.counters();
    const std::uint64_t shed
        = counters.refusals + counters.shedForMemory + counters.shedForConnections + servers.refusedConnections;
    if (shed == loggedShedClients_) {
        return;
    }
    log_.line(EventRank::Important, "clients_shed")
        .count("since_last", shed - loggedShedClients_)
        .count("requests_denied", counters.refusals)
        .count("closed_for_memory", counters.shedForMemory)
        .count("closed_for_connections", counters.shedForConnections)
        .count("refused_connections", servers.refusedConnections)
        .count("request_bytes_held", memory.used())
        .count("connections", memory.connections());
    loggedShedClients_ = shed;
}

Result<std::unique_ptr<EntryProcess>> EntryProcess::create(const EntrySettings &settings,
                                                           std::string settingsPath,
                                                           EntryProtocol protocol)
{
    std::unique_ptr<Implementation> implementation
        = std::make_unique<Implementation>(settings, std::move(settingsPath), std::move(protocol));
    const Result<void> opened = implementation->open();
    if (opened.has_error()) {
        return opened.error();
    }
    return std::unique_ptr<EntryProcess>(new EntryProcess(std::move(implementation)));
}

EntryProcess::EntryProcess(std::unique_ptr<Implementation> implementation) : implementation_(std::move(implementation))
{
}

EntryProcess::~EntryProcess() = default;

int EntryProcess::run()
{
    return implementation_->run();
}

} // namespace sassafrasvane
