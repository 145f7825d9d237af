#include "daemonimplementation.h"

#include <algorithm>

namespace sassafrasvane
{

namespace
{

DaemonPhase phaseOf(StopPhase phase, bool hasView)
{
    switch (phase) {
    case StopPhase::Serving:
        return hasView ? DaemonPhase::Serving : DaemonPhase::Starting;
    case StopPhase::Done:
        return DaemonPhase::Stopped;
    default:
        return DaemonPhase::Draining;
    }
}

const char *stateOf(const Member &member)
{
    const bool isLeaving = member.record.state == MemberState::Alive && !member.takesWork();
    return isLeaving ? "leaving" : name(member.record.state);
}

double secondsSince(TimePoint time)
{
    return toMilliseconds(BootClock::now() - time) / 1000;
}

std::vector<SearcherStatus> searchersOf(const PublishedView &view, const std::vector<HeldStatus> &held)
{
    std::vector<SearcherStatus> searchers;
    for (const HeldStatus &status : held) {
        const Searcher *published = view.map->searcher(status.searcher);
        if (published == nullptr) {
            continue;
        }
        SearcherStatus searcher;
        searcher.id = status.searcher;
        searcher.address = published->address;
        searcher.backEnd = view.map->backEndOf(status.searcher)->name;
        searcher.failureDomain = published->failureDomain;
        searcher.isCold = status.coldCause != ColdCause::None;
        searcher.running = static_cast<std::uint32_t>(status.running);
        searcher.waiting = static_cast<std::uint32_t>(status.waiting);
        searcher.allowance = status.allowance;
        searchers.push_back(std::move(searcher));
    }
    return searchers;
}

std::vector<ClassStatus> classesOf(const Configuration &configuration,
                                   const std::vector<ClassState> &states,
                                   Metrics &metrics)
{
    std::vector<ClassStatus> classes;
    for (const RequestClass &cls : configuration.classes) {
        ClassStatus status;
        status.measured = metrics.classMetrics(cls.name).summary(BootClock::now());
        status.target = cls.target;
        const auto found = std::find_if(
            states.begin(), states.end(), [&cls](const ClassState &state) { return state.name == cls.name; });
        if (found != states.end()) {
            status.conflict = found->conflict;
        }
        classes.push_back(std::move(status));
    }
    return classes;
}

} // namespace

DaemonStatus Daemon::Implementation::status()
{
    DaemonStatus status;
    status.id = settings.peers;
    status.incarnation = incarnation;
    status.program = SASSAFRASVANE_VERSION;
    status.failureDomain = settings.failureDomain;
    status.region = settings.region;
    status.uptimeSeconds = secondsSince(startedAt);
    status.barredRequests = static_cast<std::uint32_t>(crashes.size());
    const std::vector<HeldStatus> held = leaf->status();
    const std::vector<ClassState> states = entry->classes();
    const std::lock_guard<std::mutex> lock(viewMutex);
    status.phase = phaseOf(stop->phase(), view != nullptr);
    for (const Member &member : members) {
        status.peers.push_back({peerAddress(member.record.daemon), member.record.failureDomain, stateOf(member)});
    }
    if (view == nullptr) {
        return status;
    }
    const double age = fleet->knowledgeAgeSeconds();
    status.configuration = {view->configuration->version, age};
    status.shardMap = {view->map->version(), age};
    status.vms = {view->vms->version, age};
    status.domainsOut = view->configuration->domainsOut;
    status.searchers = searchersOf(*view, held);
    status.classes = classesOf(*view->configuration, states, observability.metrics);
    return status;
}

WhyReply Daemon::Implementation::why(const WhySubject &subject)
{
    WhyReply reply;
    reply.decisions = observability.journal.find(subject.filter());
    if (subject.trace) {
        reply.spans = observability.traces->find(*subject.trace);
    }
    return reply;
}

EntriesReply Daemon::Implementation::advisedEntries()
{
    const Advice advice = fleet->advise({});
    EntriesReply reply;
    reply.lifetimeSeconds = toMilliseconds(advice.lifetime) / 1000;
    const std::lock_guard<std::mutex> lock(viewMutex);
    for (const Address &address : advice.addresses) {
        EntryStatus entryStatus{address, address == settings.callers ? settings.failureDomain : std::string()};
        for (const Member &member : members) {
            if (member.record.callerAddress == address) {
                entryStatus.failureDomain = member.record.failureDomain;
            }
        }
        reply.entries.push_back(std::move(entryStatus));
    }
    return reply;
}

DrainReply Daemon::Implementation::drain()
{
    if (stop->phase() == StopPhase::Serving) {
        stop->request();
    }
    return {DaemonPhase::Draining, static_cast<std::uint32_t>(openRequests.load())};
}

std::string Daemon::Implementation::metricsText()
{
    const FleetCounters counters = fleet->counters();
    Metrics &metrics = observability.metrics;
    metrics.gauge("sassafrasvane_control_sent_bytes", "Bytes sent in the exchange between daemons")
        .set(static_cast<double>(counters.bytesSent));
    metrics.gauge("sassafrasvane_control_received_bytes", "Bytes received in the exchange between daemons")
        .set(static_cast<double>(counters.bytesReceived));
    metrics.gauge("sassafrasvane_control_refused_datagrams", "Datagrams refused")
        .set(static_cast<double>(counters.datagramsRefused));
    metrics.gauge("sassafrasvane_open_requests", "Requests of callers that are not answered yet")
        .set(static_cast<double>(openRequests.load()));
    metrics.gauge("sassafrasvane_knowledge_age_seconds", "Time since the published values were last confirmed")
        .set(fleet->knowledgeAgeSeconds());
    metrics.gauge("sassafrasvane_barred_fingerprints", "Requests with evidence of crashing servers")
        .set(static_cast<double>(crashes.size()));
    return metrics.prometheusText(BootClock::now());
}

Result<void> Daemon::Implementation::startControl()
{
    ControlHandlers handlers;
    handlers.status = [this] { return status(); };
    handlers.why = [this](const WhySubject &subject) { return why(subject); };
    handlers.entries = [this] { return advisedEntries(); };
    handlers.drain = [this]() -> Result<DrainReply> { return drain(); };
    handlers.metrics = [this] { return metricsText(); };
    Result<std::unique_ptr<ControlServer>> built = ControlServer::Builder()
                                                       .address(settings.operators)
                                                       .key(settings.operatorKey)
                                                       .handlers(std::move(handlers))
                                                       .build();
    if (built.has_error()) {
        return built.error();
    }
    control = std::move(built.value());
    return boost::outcome_v2::success();
}

} // namespace sassafrasvane
