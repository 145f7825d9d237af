#include "daemonimplementation.h"

#include <algorithm>

namespace sassafrasvane
{

namespace
{

/// Peers that are told of requests that crash their servers; each tells as many others what is new to it.
constexpr std::size_t crashNoticePeers = 4;

} // namespace

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
    hooks.onError = [this](const Error &error) { log(error); };
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

detail::StopHooks Daemon::Implementation::stopHooks()
{
    detail::StopHooks hooks;
    hooks.inFlight = [this] { return openRequests + leaf->inFlight(); };
    hooks.onPhase = [this](StopPhase phase) { onPhase(phase); };
    return hooks;
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

} // namespace sassafrasvane
