#include "tier.h"

namespace sassafrasvane
{

namespace
{

using namespace std::chrono_literals;

/// How often holders of a searcher confirm to each other that it is warm.
constexpr Duration warmthPeriod = 1s;

} // namespace

void Tier::dispatch(std::uint64_t id, SearchCall message, TimePoint deadline)
{
    Entry &entry = entries_[queries_.at(id).entry];
    const CallId callId = message.call;
    const SearcherId searcher = message.searcher;
    Call call{id, std::move(message), loop_.now(), deadline, 0, Duration{0}, false, false};
    if (setup_.isBaseline) {
        calls_.emplace(callId, std::move(call));
        loop_.after(setup_.hop, [this, callId] { submit(callId); });
        return;
    }
    const std::optional<DaemonId> holder = entry.router.holder(loop_.now(), searcher);
    call.gate = firstGate_[searcher.value];
    while (gates_[call.gate].holder != *holder) {
        ++call.gate;
    }
    call.hop = *holder == entry.id ? Duration{0} : setup_.hop;
    entry.router.onSent(searcher);
    loop_.after(call.hop, [this, callId] { offer(callId); });
    calls_.emplace(callId, std::move(call));
}

void Tier::cancel(CallId id)
{
    const auto found = calls_.find(id);
    if (found == calls_.end() || found->second.isAbandoned) {
        return;
    }
    Call &call = found->second;
    call.isAbandoned = true;
    if (setup_.isBaseline) {
        return;
    }
    const Running &running = queries_.at(call.query);
    entries_[running.entry].router.onAbandoned(call.message.searcher);
    entries_[running.entry].controllers[running.cls].onCall(loop_.now() - call.sentAt);
    loop_.after(call.hop, [this, id] {
        const auto open = calls_.find(id);
        if (open == calls_.end()) {
            return;
        }
        if (open->second.isStarted) {
            searcher(open->second.message.searcher).cancel(id);
            return;
        }
        const std::size_t gate = open->second.gate;
        gateActions_.clear();
        const bool wasWaiting = gates_[gate].gate.cancel(loop_.now(), id, gateActions_);
        if (wasWaiting) {
            calls_.erase(id);
        }
        applyGate(gate);
    });
}

void Tier::offer(CallId id)
{
    const auto found = calls_.find(id);
    if (found == calls_.end()) {
        return;
    }
    const Call &call = found->second;
    const std::size_t gate = call.gate;
    const GateRequest request{id, ClassIndex{0}, call.deadline, call.message.isExtra};
    gateActions_.clear();
    gates_[gate].gate.offer(loop_.now(), request, gateActions_);
    applyGate(gate);
}

void Tier::applyGate(std::size_t gate)
{
    for (const CallId id : gateActions_.start) {
        calls_.at(id).isStarted = true;
        loop_.after(setup_.hop, [this, id] { submit(id); });
    }
    for (const GateRefusal &refusal : gateActions_.refuse) {
        reply(refusal.call, CallOutcome::Refused, refusal.reason, false);
    }
    Gate &state = gates_[gate];
    if (gateActions_.wakeAt && *gateActions_.wakeAt != state.wakeAt) {
        state.wakeAt = *gateActions_.wakeAt;
        loop_.at(state.wakeAt, [this, gate] {
            gateActions_.clear();
            gates_[gate].gate.onTimer(loop_.now(), gateActions_);
            applyGate(gate);
        });
    }
}

// Tells the other holders when the warmth changes, and now and then while it stays.
void Tier::tellWarmth(std::size_t gate)
{
    Gate &state = gates_[gate];
    const std::optional<WarmthReport> report = state.gate.warmth();
    if (!report) {
        return;
    }
    const bool isSame = report->incarnation == state.told.incarnation && report->allowance == state.told.allowance;
    if (isSame && report->confirmedAt < state.told.confirmedAt + warmthPeriod) {
        return;
    }
    state.told = *report;
    for (std::size_t i = firstGate_[state.searcher.value]; i < gates_.size() && gates_[i].searcher == state.searcher;
         ++i) {
        if (i == gate) {
            continue;
        }
        loop_.after(setup_.hop, [this, i, report = *report] {
            const Duration age = loop_.now() - report.confirmedAt;
            gates_[i].gate.onPeerWarmth(loop_.now(), report.incarnation, report.allowance, age);
        });
    }
}

void Tier::submit(CallId id)
{
    const Call &call = calls_.at(id);
    searcher(call.message.searcher).submit(id, call.message.parts.size(), [this, id](const SearcherEnd &end) {
        loop_.after(setup_.hop, [this, id, end] { onEnd(id, end); });
    });
}

void Tier::onEnd(CallId id, const SearcherEnd &end)
{
    const bool isRefused = end.kind == SearcherEnd::Kind::Refused;
    const bool isLost = end.kind == SearcherEnd::Kind::NoServer || end.kind == SearcherEnd::Kind::Broken;
    if (!setup_.isBaseline) {
        const std::size_t gate = calls_.at(id).gate;
        // A call that was stopped tells nothing of the server's warmth.
        const bool isStopped = end.kind == SearcherEnd::Kind::Stopped;
        GateResult result{id,
                          GateResult::End::Answered,
                          end.latency + 2 * setup_.hop,
                          isStopped ? Incarnation() : end.incarnation,
                          false,
                          end.load};
        if (isRefused || isLost) {
            result.end = isRefused ? GateResult::End::Refused : GateResult::End::Failed;
        }
        result.isConnectionLost = isLost;
        gateActions_.clear();
        gates_[gate].gate.onResult(loop_.now(), result, gateActions_);
        applyGate(gate);
        tellWarmth(gate);
    }
    if (end.kind == SearcherEnd::Kind::Answered) {
        reply(id, CallOutcome::Answered, Errc::Internal, true);
    } else if (isRefused) {
        reply(id, CallOutcome::Refused, Errc::Refused, true);
    } else {
        const bool wasSent = end.kind != SearcherEnd::Kind::NoServer;
        reply(id, wasSent ? CallOutcome::Failed : CallOutcome::Refused, Errc::ConnectionLost, wasSent);
    }
}

// Takes the call's end back to its entry.
void Tier::reply(CallId id, CallOutcome outcome, Errc error, bool wasSent)
{
    const auto node = calls_.extract(id);
    if (node.empty() || node.mapped().isAbandoned) {
        return;
    }
    const Call &call = node.mapped();
    SearchReply reply{id, call.message.searcher, call.message.version, outcome, error, wasSent, {}};
    if (outcome == CallOutcome::Answered) {
        for (const PartId part : call.message.parts) {
            reply.parts.push_back({part, {}});
        }
    }
    const Running &asker = queries_.at(call.query);
    // The baseline has no gates.
    const DaemonId holder = setup_.isBaseline ? DaemonId{} : gates_[call.gate].holder;
    loop_.after(call.hop,
                [this, query = call.query, at = asker.entry, cls = asker.cls, sentAt = call.sentAt, holder, reply] {
                    if (!setup_.isBaseline) {
                        learn(entries_[at], cls, reply, loop_.now() - sentAt, holder);
                    }
                    const auto found = queries_.find(query);
                    if (found != queries_.end()) {
                        found->second.refusedCalls += reply.error == Errc::Overloaded ? 1 : 0;
                        queryActions_.clear();
                        found->second.query->onReply(loop_.now(), reply, queryActions_);
                        applyQuery(query);
                    }
                });
}

void Tier::learn(Entry &entry, std::size_t cls, const SearchReply &reply, Duration latency, DaemonId holder)
{
    const bool isAnswered = reply.outcome == CallOutcome::Answered;
    entry.router.onReply(loop_.now(), reply, latency, holder);
    entry.budgets[cls].onResult(loop_.now(), isAnswered);
    if (isAnswered) {
        entry.controllers[cls].onCall(latency);
    }
}

} // namespace sassafrasvane
