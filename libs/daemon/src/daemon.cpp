#include "daemon/daemon.h"

#include "admission/searchergate.h"
#include "answerrecorder.h"
#include "base/random.h"
#include "daemon/callerserver.h"
#include "daemon/entrytask.h"
#include "daemon/fleettask.h"
#include "daemon/leaftask.h"
#include "daemon/oncetask.h"
#include "daemon/peerlinks.h"
#include "daemon/platformreader.h"
#include "daemon/publishedview.h"
#include "daemon/sharedcrashbar.h"
#include "stoptask.h"

#include <algorithm>
#include <atomic>
#include <mutex>

namespace sassafrasvane
{

namespace
{

using namespace std::chrono_literals;

/// Peers that are told of requests that crash their servers; each tells as many others what is new to it.
constexpr std::size_t crashNoticePeers = 4;
/// The longest deadline of accepted work.
constexpr Duration longestWork = 10s;

StopTimes stopTimes()
{
    StopTimes times;
    times.longestAdvice = FleetTask::longestAdvice();
    times.longestTicket = OnceTask::ticketLifetime;
    times.longestWork = longestWork;
    return times;
}

std::uint64_t randomNonce()
{
    return hashBytes(makeNonce());
}

} // namespace

struct Daemon::Implementation {
    explicit Implementation(ProcessSettings settings)
        : settings(std::move(settings))
        , self(daemonId(this->settings.peers))
        , recorder(observability, this->settings.traceSampling, randomNonce())
    {
    }

    ProcessSettings settings;
    DaemonId self;
    Incarnation incarnation{wallClockMicros()};
    detail::Observability observability;
    detail::AnswerRecorder recorder;
    std::atomic<std::size_t> openRequests{0};

    std::mutex viewMutex;
    ViewBuilder viewBuilder;
    std::shared_ptr<const PublishedView> view;
    std::vector<Member> members;
    Random noticeRandom{randomNonce()};
    TimePoint readyAt;

    /// Tells a few peers what is new, who tell a few others.
    SharedCrashBar crashes{randomNonce(), [this](const std::vector<CrashEntry> &entries) { spreadCrashes(entries); }};

    std::unique_ptr<PeerLinks> links;
    std::unique_ptr<LeafTask> leaf;
    std::unique_ptr<EntryTask> entry;
    std::unique_ptr<OnceTask> once;
    std::unique_ptr<FleetTask> fleet;
    std::unique_ptr<CallerServer> callers;
    std::unique_ptr<PlatformReader> platform;
    std::unique_ptr<detail::StopTask> stop;

    Result<void> startTasks();
    Result<void> openObservability();
    LeafHooks leafHooks();
    PeerLinkHooks linkHooks();
    EntryHooks entryHooks();
    OnceHooks onceHooks();
    FleetHooks fleetHooks();
    CallerServerHooks callerHooks();
    detail::StopHooks stopHooks();
    void onMessage(LinkId link, PeerMessage message);
    void onUnsent(DaemonId to, PeerMessage message);
    void onAccepted(const AcceptedValue &value);
    void onRefused(const RefusedValue &value);
    void onMembers(const std::vector<Member> &changed);
    void onPhase(StopPhase phase);
    void spreadCrashes(const std::vector<CrashEntry> &entries);
    std::string startQuery(CallerQuery query, const std::string &traceparent, const CallerReply &reply);
    std::string startRun(CallerOnce request, const std::string &traceparent, const CallerReply &reply);
    CallerReply recorded(const detail::RequestTrace &request, CallerReply reply);
    std::optional<RequestClass> findClass(const std::string &className);
    std::optional<Error> refusalWhileStopping() const;
    std::optional<Incarnation> knownIncarnation(DaemonId daemon);
    EntriesAnswer entries(const std::string &failureDomain);
    void log(const Error &error);
    void stopTasks();
};

void Daemon::Implementation::log(const Error &error)
{
    observability.logger->log(LogRecord::of(LogLevel::Warn, error));
}

LeafHooks Daemon::Implementation::leafHooks()
{
    LeafHooks hooks;
    hooks.onReply = [this](const LeafOrigin &origin, LeafReply reply) {
        if (origin) {
            links->reply(*origin, std::move(reply));
        } else {
            entry->onReply(std::move(reply));
        }
    };
    hooks.checkLease = [this] { return fleet->checkLease(); };
    hooks.sendWarmthQuery = [this](DaemonId to, WarmthQuery query) { links->send(to, std::move(query)); };
    hooks.sendWarmthReply = [this](LinkId link, WarmthReply reply) { links->reply(link, std::move(reply)); };
    hooks.onSpan = [this](Span span) {
        const TraceContext context = span.context;
        const bool isRefused = span.status == SpanStatus::Error;
        observability.traces->record(std::move(span));
        observability.traces->finish(context, {false, false, isRefused});
    };
    return hooks;
}

PeerLinkHooks Daemon::Implementation::linkHooks()
{
    PeerLinkHooks hooks;
    hooks.onMessage = [this](LinkId link, DaemonId, PeerMessage message) { onMessage(link, std::move(message)); };
    hooks.onUnsent = [this](DaemonId to, PeerMessage message) { onUnsent(to, std::move(message)); };
    hooks.onLost = [this](DaemonId to) {
        entry->onLost(to);
        once->onLost(to);
    };
    hooks.onError = [this](const Error &error) { log(error); };
    return hooks;
}

void Daemon::Implementation::onMessage(LinkId link, PeerMessage message)
{
    if (LeafRequest *request = std::get_if<LeafRequest>(&message)) {
        leaf->request(link, std::move(*request));
    } else if (LeafReply *reply = std::get_if<LeafReply>(&message)) {
        entry->onReply(std::move(*reply));
    } else if (LeafCancel *cancel = std::get_if<LeafCancel>(&message)) {
        leaf->cancel(link, std::move(*cancel));
    } else if (OnceForward *forward = std::get_if<OnceForward>(&message)) {
        once->onForward(link, std::move(*forward));
    } else if (OnceForwardReply *forwardReply = std::get_if<OnceForwardReply>(&message)) {
        once->onForwardReply(std::move(*forwardReply));
    } else if (WarmthQuery *query = std::get_if<WarmthQuery>(&message)) {
        leaf->onWarmthQuery(link, std::move(*query));
    } else if (WarmthReply *warmth = std::get_if<WarmthReply>(&message)) {
        leaf->onWarmthReply(std::move(*warmth));
    } else if (const CrashNotice *notice = std::get_if<CrashNotice>(&message)) {
        crashes.merge(notice->entries);
    }
}

void Daemon::Implementation::onUnsent(DaemonId to, PeerMessage message)
{
    if (LeafRequest *request = std::get_if<LeafRequest>(&message)) {
        entry->onUnsent(to, std::move(*request));
    } else if (const OnceForward *forward = std::get_if<OnceForward>(&message)) {
        once->onUnsent(*forward);
    }
}

EntryHooks Daemon::Implementation::entryHooks()
{
    EntryHooks hooks;
    hooks.sendRequest = [this](DaemonId to, LeafRequest request) {
        if (to == self) {
            leaf->request(std::nullopt, std::move(request));
        } else {
            links->send(to, std::move(request));
        }
    };
    hooks.sendCancel = [this](DaemonId to, LeafCancel cancel) {
        if (to == self) {
            leaf->cancel(std::nullopt, std::move(cancel));
        } else {
            links->send(to, std::move(cancel));
        }
    };
    return hooks;
}

OnceHooks Daemon::Implementation::onceHooks()
{
    OnceHooks hooks;
    hooks.run = [this](RunWork work, RunReply reply) { entry->run(std::move(work), std::move(reply)); };
    hooks.sendForward = [this](DaemonId owner, OnceForward forward) { links->send(owner, std::move(forward)); };
    hooks.sendReply = [this](LinkId link, OnceForwardReply reply) { links->reply(link, std::move(reply)); };
    hooks.knownIncarnation = [this](DaemonId daemon) { return knownIncarnation(daemon); };
    return hooks;
}

FleetHooks Daemon::Implementation::fleetHooks()
{
    FleetHooks hooks;
    hooks.onMembers = [this](const std::vector<Member> &changed) { onMembers(changed); };
    hooks.onAccepted = [this](const AcceptedValue &value) { onAccepted(value); };
    hooks.onRefused = [this](const RefusedValue &value) { onRefused(value); };
    hooks.read = [this](const ServiceRead &read) { platform->read(read); };
    hooks.onError = [this](const Error &error) { log(error); };
    return hooks;
}

CallerServerHooks Daemon::Implementation::callerHooks()
{
    CallerServerHooks hooks;
    hooks.query = [this](CallerQuery query, const std::string &traceparent, const CallerReply &reply) {
        return startQuery(std::move(query), traceparent, reply);
    };
    hooks.run = [this](CallerOnce request, const std::string &traceparent, const CallerReply &reply) {
        return startRun(std::move(request), traceparent, reply);
    };
    hooks.entries = [this](const std::string &failureDomain) { return entries(failureDomain); };
    hooks.isReady = [this] {
        const std::lock_guard<std::mutex> lock(viewMutex);
        return view != nullptr && BootClock::now() >= readyAt && stop->phase() == StopPhase::Serving;
    };
    return hooks;
}

detail::StopHooks Daemon::Implementation::stopHooks()
{
    detail::StopHooks hooks;
    hooks.inFlight = [this] { return openRequests + leaf->inFlight(); };
    hooks.onPhase = [this](StopPhase phase) { onPhase(phase); };
    return hooks;
}

// Counts the request as open until it is answered, and records its end.
CallerReply Daemon::Implementation::recorded(const detail::RequestTrace &request, CallerReply reply)
{
    ++openRequests;
    return [this, request, reply = std::move(reply)](CallerOutcome outcome) {
        recorder.end(request, outcome);
        reply(std::move(outcome));
        --openRequests;
    };
}

std::optional<RequestClass> Daemon::Implementation::findClass(const std::string &className)
{
    const std::lock_guard<std::mutex> lock(viewMutex);
    const std::optional<ClassIndex> index = view == nullptr ? std::nullopt : view->configuration->findClass(className);
    return index ? std::optional<RequestClass>(view->configuration->classes[index->value]) : std::nullopt;
}

std::optional<Error> Daemon::Implementation::refusalWhileStopping() const
{
    if (stop->phase() <= StopPhase::Unadvised) {
        return std::nullopt;
    }
    return Error(Errc::Draining, Step::Stop, {}, "the daemon is stopping; GET /v1/entries names others");
}

std::string Daemon::Implementation::startQuery(CallerQuery query,
                                               const std::string &traceparent,
                                               const CallerReply &reply)
{
    detail::RequestTrace request = recorder.begin(traceparent);
    const std::optional<RequestClass> cls = findClass(query.className);
    if (cls) {
        request.className = cls->name;
        request.target = cls->target.latency;
    }
    const CallerReply counted = recorded(request, reply);
    if (std::optional<Error> refusal = refusalWhileStopping()) {
        CallerOutcome outcome;
        outcome.error = std::move(refusal);
        counted(std::move(outcome));
    } else {
        entry->query(std::move(query), request.context.toTraceparent(), counted);
    }
    return request.context.trace.toString();
}

std::string Daemon::Implementation::startRun(CallerOnce onceRequest,
                                             const std::string &traceparent,
                                             const CallerReply &reply)
{
    detail::RequestTrace request = recorder.begin(traceparent);
    const std::optional<RequestClass> cls = findClass(onceRequest.run.className);
    std::optional<Error> refusal = refusalWhileStopping();
    if (!refusal && (!cls || cls->isIdempotent)) {
        refusal = Error(Errc::InvalidRequest, Step::Accept, {}, "/class names no class of non-idempotent requests");
    }
    if (cls) {
        request.className = cls->name;
        request.target = cls->target.latency;
    }
    const CallerReply counted = recorded(request, reply);
    if (refusal) {
        CallerOutcome outcome;
        outcome.error = std::move(refusal);
        counted(std::move(outcome));
    } else {
        const Duration target = cls->target.latency;
        const Duration timeLeft = onceRequest.run.timeLeft ? std::min(*onceRequest.run.timeLeft, target) : target;
        once->accept(std::move(onceRequest), request.context.toTraceparent(), timeLeft, counted);
    }
    return request.context.trace.toString();
}

std::optional<Incarnation> Daemon::Implementation::knownIncarnation(DaemonId daemon)
{
    const std::lock_guard<std::mutex> lock(viewMutex);
    for (const Member &member : members) {
        if (member.record.daemon == daemon) {
            return member.record.incarnation;
        }
    }
    return std::nullopt;
}

void Daemon::Implementation::onMembers(const std::vector<Member> &changed)
{
    std::unordered_set<DaemonId> unusable;
    for (const Member &member : changed) {
        if (!member.takesWork()) {
            unusable.insert(member.record.daemon);
        }
    }
    entry->setUnusableDaemons(std::move(unusable));
    const std::lock_guard<std::mutex> lock(viewMutex);
    members = changed;
}

EntriesAnswer Daemon::Implementation::entries(const std::string &failureDomain)
{
    const Advice advice = fleet->advise(failureDomain);
    EntriesAnswer answer;
    answer.lifetime = advice.lifetime;
    for (const Address &address : advice.addresses) {
        answer.entries.push_back(address.toString());
    }
    if (stop->phase() == StopPhase::Serving) {
        answer.ticket = once->issueTicket();
    }
    return answer;
}

void Daemon::Implementation::onAccepted(const AcceptedValue &value)
{
    const std::lock_guard<std::mutex> lock(viewMutex);
    switch (value.key) {
    case ConfigKey::Configuration:
        viewBuilder.take(readConfiguration(*value.text, value.version).value());
        break;
    case ConfigKey::ShardMap:
        viewBuilder.take(readShardMap(*value.text, value.version).value());
        break;
    case ConfigKey::Vms:
        viewBuilder.take(readVmList(*value.text, value.version).value());
        break;
    }
    const std::string text = std::string(name(value.key)) + " version " + std::to_string(value.version.value);
    observability.journal.record({wallClockMicros(), DecisionKind::ConfigurationAccepted, {}, {}, {}, text});
    const std::shared_ptr<const PublishedView> next = viewBuilder.view();
    if (next != nullptr) {
        if (view == nullptr) {
            // Until then the searchers that this daemon holds may still be used by a former holder.
            readyAt = BootClock::now() + SearcherGate::holdOff();
        }
        view = next;
        leaf->setView(next);
        entry->setView(next);
        fleet->setDomainsOut(next->configuration->domainsOut);
    }
}

void Daemon::Implementation::onRefused(const RefusedValue &value)
{
    log(value.error);
    const std::string text
        = std::string(name(value.key)) + " version " + std::to_string(value.version.value) + ": " + value.error.detail;
    observability.journal.record({wallClockMicros(), DecisionKind::ConfigurationRejected, {}, {}, {}, text});
}

void Daemon::Implementation::spreadCrashes(const std::vector<CrashEntry> &entries)
{
    observability.journal.record({wallClockMicros(),
                                  DecisionKind::RequestBarred,
                                  {},
                                  {},
                                  {},
                                  std::to_string(entries.size()) + " entries of requests that crash servers"});
    const std::lock_guard<std::mutex> lock(viewMutex);
    for (std::size_t i = 0; i < std::min(crashNoticePeers, members.size()); ++i) {
        std::swap(members[i], members[i + noticeRandom.below(members.size() - i)]);
        links->send(members[i].record.daemon, CrashNotice{entries});
    }
}

void Daemon::Implementation::onPhase(StopPhase phase)
{
    observability.journal.record(
        {wallClockMicros(), DecisionKind::Draining, {}, {}, {}, std::string("phase ") + name(phase)});
    LogRecord record;
    record.step = Step::Stop;
    record.message = std::string("phase ") + name(phase);
    observability.logger->log(record);
    if (phase == StopPhase::Unadvised) {
        fleet->leave();
    } else if (phase == StopPhase::Refusing) {
        once->stopAccepting();
    } else if (phase == StopPhase::HandingOver) {
        stop->handedOver();
    }
}

Result<void> Daemon::Implementation::openObservability()
{
    Result<std::unique_ptr<Logger>> logger
        = Logger::Builder().level(logLevel(settings.logLevel).value_or(LogLevel::Info)).file(settings.logFile).build();
    if (logger.has_error()) {
        return logger.error();
    }
    observability.logger = std::move(logger.value());
    TraceSink::Builder traces;
    traces.instance(settings.peers.toString());
    if (!settings.traceFile.empty()) {
        traces.file(settings.traceFile);
    }
    Result<std::unique_ptr<TraceSink>> sink = traces.build();
    if (sink.has_error()) {
        return sink.error();
    }
    observability.traces = std::move(sink.value());
    return boost::outcome_v2::success();
}

Result<void> Daemon::Implementation::startTasks()
{
    if (const Result<void> opened = openObservability(); opened.has_error()) {
        return opened.error();
    }
    stop = std::make_unique<detail::StopTask>(stopTimes(), stopHooks());
    leaf = std::make_unique<LeafTask>(self, crashes, leafHooks());
    entry = std::make_unique<EntryTask>(EntryIdentity{self, incarnation, randomNonce()}, crashes, entryHooks());
    once = std::make_unique<OnceTask>(TicketOrigin{self, incarnation, randomNonce()}, settings.peerKeys, onceHooks());
    Result<std::unique_ptr<PeerLinks>> builtLinks
        = PeerLinks::Builder().identity({self, incarnation}).keys(settings.peerKeys).hooks(linkHooks()).build();
    if (builtLinks.has_error()) {
        return builtLinks.error();
    }
    links = std::move(builtLinks.value());
    PlatformHooks platformHooks;
    platformHooks.onValue = [this](PlatformValue value) { fleet->onServiceValue(std::move(value)); };
    platformHooks.onFailed = [this](ConfigKey key, const Error &error) {
        log(error);
        fleet->onServiceFailed(key);
    };
    platform = std::make_unique<PlatformReader>(settings.platform, std::move(platformHooks));
    const FleetIdentity identity{
        self, incarnation, settings.callers, settings.failureDomain, settings.region, settings.peerKeys};
    Result<std::unique_ptr<FleetTask>> builtFleet = FleetTask::create(identity, fleetHooks());
    if (builtFleet.has_error()) {
        return builtFleet.error();
    }
    fleet = std::move(builtFleet.value());
    Result<std::unique_ptr<CallerServer>> builtCallers = CallerServer::start(settings.callers, callerHooks());
    if (builtCallers.has_error()) {
        return builtCallers.error();
    }
    callers = std::move(builtCallers.value());
    links->run();
    fleet->run();
    return boost::outcome_v2::success();
}

// Ends the tasks in the order in which work flows, so that each can still hand on what it has.
void Daemon::Implementation::stopTasks()
{
    if (callers != nullptr) {
        callers->stop();
    }
    if (platform != nullptr) {
        platform->stop();
    }
    if (fleet != nullptr) {
        fleet->stop();
    }
    if (once != nullptr) {
        once->stop();
    }
    if (entry != nullptr) {
        entry->stop();
    }
    if (leaf != nullptr) {
        leaf->stop();
    }
    if (links != nullptr) {
        links->stop();
    }
}

Daemon::Daemon(std::unique_ptr<Implementation> implementation) : implementation_(std::move(implementation))
{
}

Daemon::~Daemon()
{
    implementation_->stopTasks();
}

void Daemon::requestStop()
{
    implementation_->stop->request();
}

int Daemon::waitForExit()
{
    const int exitCode = implementation_->stop->wait();
    implementation_->stopTasks();
    return exitCode;
}

Daemon::Builder &Daemon::Builder::settings(ProcessSettings settings)
{
    settings_ = std::move(settings);
    return *this;
}

Result<std::unique_ptr<Daemon>> Daemon::Builder::build()
{
    std::unique_ptr<Daemon> daemon(new Daemon(std::make_unique<Implementation>(settings_)));
    const Result<void> started = daemon->implementation_->startTasks();
    if (started.has_error()) {
        return started.error();
    }
    return daemon;
}

} // namespace sassafrasvane
