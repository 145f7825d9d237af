#include "leafimplementation.h"

#include <algorithm>
#include <future>
#include <utility>

namespace sassafrasvane
{

namespace
{

using namespace std::chrono_literals;

/// Time between two looks at connections, warmth and lost time.
constexpr Duration tickInterval = 100ms;

/// Time between two questions to the other holders about searchers that are not known to be warm.
constexpr Duration warmthInterval = 300ms;

/// A pause of this process beyond which another daemon may have held the searchers meanwhile.
constexpr Duration longestPause = 3s;

/// Time without an answer after which a searcher is asked for its health. Below ColdStart::confirmationLifetime(), so
/// that a searcher without work stays warm.
constexpr Duration healthInterval = 1s;

} // namespace

void LeafTask::Implementation::adopt(std::shared_ptr<const PublishedView> next)
{
    view = std::move(next);
    std::vector<SearcherId> gone;
    for (const auto &[id, searcher] : held) {
        gone.push_back(id);
    }
    for (const SearcherId id : view->holders->heldBy(self)) {
        const Searcher *searcher = view->map->searcher(id);
        const BackEndLimits *limits = view->configuration->findBackEnd(view->map->backEndOf(id)->name);
        if (limits != nullptr) {
            hold(*searcher, *limits, *view->holders->share(id, self));
            std::erase(gone, id);
        }
    }
    for (const SearcherId id : gone) {
        release(id);
    }
}

void LeafTask::Implementation::hold(const Searcher &searcher, const BackEndLimits &limits, HolderShare share)
{
    const SearcherId id = searcher.id;
    auto found = held.find(id);
    if (found != held.end() && found->second.published.address != searcher.address) {
        release(id);
        found = held.end();
    }
    if (found == held.end()) {
        const TimePoint now = BootClock::now();
        const auto onEnd = [this, id](detail::SearcherJobEnd jobEnd) {
            loop.post([this, id, jobEnd = std::move(jobEnd)] { end(id, jobEnd); });
        };
        const auto onHealth
            = [this, id](detail::SearcherHealth health) { loop.post([this, id, health] { takeHealth(id, health); }); };
        auto connections = std::make_unique<detail::SearcherConnections>(searcher.address, responses, onEnd, onHealth);
        SearcherGate gate = SearcherGate::Builder().limits(limits).share(share).becameHolderAt(now).build();
        ConnectionPacer pacer = ConnectionPacer::Builder().limits(limits).share(share).build();
        found
            = held.emplace(id,
                           detail::HeldSearcher{
                               searcher, limits, share, {}, std::move(gate), std::move(pacer), std::move(connections)})
                  .first;
    }
    detail::HeldSearcher &present = found->second;
    present.published = searcher;
    present.otherHolders.clear();
    for (const DaemonId holder : view->holders->holders(id)) {
        if (holder != self) {
            present.otherHolders.push_back(holder);
        }
    }
    const bool isSame = present.limits.slots == limits.slots && present.limits.connections == limits.connections
        && present.limits.coldAllowance == limits.coldAllowance && present.limits.warmUp == limits.warmUp
        && present.share.rank == share.rank && present.share.holders == share.holders;
    if (!isSame) {
        present.limits = limits;
        present.share = share;
        present.pacer.setShare(limits, share);
        GateActions actions;
        present.gate.setShare(BootClock::now(), limits, share, actions);
        apply(id, actions);
    }
}

void LeafTask::Implementation::release(SearcherId searcher)
{
    const auto found = held.find(searcher);
    close(std::move(found->second.connections));
    held.erase(found);
    std::vector<CallId> waiting;
    for (const auto &[id, call] : calls) {
        if (call.call.searcher == searcher && !call.isRunning) {
            waiting.push_back(id);
        }
    }
    for (const CallId id : waiting) {
        refuse(id, Errc::NoServer);
    }
}

void LeafTask::Implementation::close(std::unique_ptr<detail::SearcherConnections> connections)
{
    closer.post([connections = std::shared_ptr<detail::SearcherConnections>(std::move(connections))]() mutable {
        connections.reset();
    });
}

void LeafTask::Implementation::tick()
{
    const TimePoint now = BootClock::now();
    const bool hasSlept = now - lastTick > longestPause;
    lastTick = now;
    for (auto &[id, searcher] : held) {
        if (hasSlept) {
            searcher.gate.suspend(now);
        }
        if (!mayReceiveWork(searcher.published)) {
            // Left alone, it falls silent and is warmed like a new one when it comes back.
            continue;
        }
        searcher.openConnection(now);
        if (now - searcher.askedAt > healthInterval) {
            searcher.askedAt = now;
            searcher.connections->checkHealth();
        }
    }
    if (now >= nextWarmth) {
        nextWarmth = now + warmthInterval;
        askWarmth(now);
    }
    loop.at(now + tickInterval, [this] { tick(); });
}

std::vector<HeldStatus> LeafTask::Implementation::status() const
{
    std::vector<HeldStatus> list;
    const TimePoint now = BootClock::now();
    for (const auto &[id, searcher] : held) {
        list.push_back({id,
                        searcher.gate.coldCause(now),
                        searcher.gate.running(),
                        searcher.gate.waiting(),
                        searcher.gate.concurrency(now),
                        searcher.connections->count()});
    }
    return list;
}

LeafTask::LeafTask(DaemonId self, SharedCrashBar &crashes, LeafHooks hooks)
    : implementation_(std::make_unique<Implementation>(self, crashes, std::move(hooks)))
{
    implementation_->loop.post([implementation = implementation_.get()] { implementation->tick(); });
}

LeafTask::~LeafTask()
{
    stop();
}

void LeafTask::setView(std::shared_ptr<const PublishedView> view)
{
    implementation_->loop.post(
        [implementation = implementation_.get(), view = std::move(view)] { implementation->adopt(view); });
}

void LeafTask::request(LeafOrigin origin, LeafRequest request)
{
    const std::shared_ptr<const LeafRequest> shared = std::make_shared<const LeafRequest>(std::move(request));
    implementation_->loop.post([implementation = implementation_.get(), origin, shared] {
        for (const SearchCall &call : shared->calls) {
            implementation->offer(origin, shared, call);
        }
    });
}

void LeafTask::cancel(LeafOrigin origin, LeafCancel cancel)
{
    implementation_->loop.post([implementation = implementation_.get(), origin, cancel = std::move(cancel)] {
        implementation->cancel(origin, cancel);
    });
}

void LeafTask::onWarmthQuery(LinkId link, WarmthQuery query)
{
    implementation_->loop.post([implementation = implementation_.get(), link, query = std::move(query)] {
        implementation->hooks.sendWarmthReply(link, implementation->answerWarmth(query));
    });
}

void LeafTask::onWarmthReply(WarmthReply reply)
{
    implementation_->loop.post(
        [implementation = implementation_.get(), reply = std::move(reply)] { implementation->takeWarmth(reply); });
}

std::vector<HeldStatus> LeafTask::status() const
{
    std::promise<std::vector<HeldStatus>> promise;
    implementation_->loop.post(
        [implementation = implementation_.get(), &promise] { promise.set_value(implementation->status()); });
    return promise.get_future().get();
}

std::size_t LeafTask::inFlight() const noexcept
{
    return implementation_->inFlight;
}

void LeafTask::stop()
{
    implementation_->loop.stop();
    implementation_->closer.stop();
    implementation_->held.clear();
}

} // namespace sassafrasvane
