#include "fanout/query.h"

#include <algorithm>
#include <utility>

namespace sassafrasvane
{

namespace
{

// Planning another version costs a pass over all parts, so it is tried a few times only.
constexpr std::uint32_t maxRestartAttempts = 3;
// Calls for one part, those that its searchers' holders refused included.
constexpr std::uint32_t maxCallsPerPart = 5;
// Searchers that are asked one after another before the query is sent to all.
constexpr std::uint32_t maxProbes = 3;

std::vector<SearcherId> distinctSearchers(std::vector<SearcherId> searchers)
{
    std::sort(searchers.begin(), searchers.end());
    searchers.erase(std::unique(searchers.begin(), searchers.end()), searchers.end());
    return searchers;
}

} // namespace

void QueryActions::clear() noexcept
{
    send.clear();
    cancel.clear();
    wakeAt.reset();
    answer.reset();
}

void Query::start(TimePoint now, QueryActions &actions)
{
    Plan plan = bestPlan(IndexVersion{});
    adopt(std::move(plan), actions);
    settle(now, actions);
}

void Query::onReply(TimePoint now, SearchReply reply, QueryActions &actions)
{
    CallState *call = findCall(reply.call);
    if (isFinished_ || call == nullptr || !call->isOpen || call->searcher != reply.searcher) {
        ++droppedReplies_;
        return;
    }
    call->wasSent = reply.wasSent;
    if (reply.outcome == CallOutcome::Answered && reply.version != index_->version) {
        ++droppedReplies_;
        reply.outcome = CallOutcome::WrongVersion;
    }
    if (reply.outcome == CallOutcome::Answered) {
        isProven_ = true;
        const bool isWhole = mergeParts(*call, std::move(reply.parts));
        closeCall(*call, Errc::BadMessage);
        if (!isWhole) {
            ++droppedReplies_;
            recover(now, *call, reply, actions);
        }
    } else {
        const bool isVersionLost = reply.outcome == CallOutcome::WrongVersion;
        closeCall(*call, isVersionLost ? Errc::WrongVersion : reply.error);
        const bool isCrashLikely
            = isProbing() && (terms_.firstSend == FirstSend::Suspect || reply.outcome == CallOutcome::Failed);
        if (!isCrashLikely) {
            recover(now, *call, reply, actions);
        }
        onProbeFailed(reply.outcome, actions);
    }
    sendHeldBack(actions);
    settle(now, actions);
}

void Query::onTimer(TimePoint now, QueryActions &actions)
{
    if (isFinished_) {
        return;
    }
    if (!isHedged_ && now >= terms_.hedgeAt && now < terms_.deadline) {
        isHedged_ = true;
        hedge(actions);
    }
    settle(now, actions);
}

IndexVersion Query::version() const noexcept
{
    return index_ == nullptr ? IndexVersion{} : index_->version;
}

Query::Plan Query::planFor(const IndexMap &index) const
{
    Plan plan{&index, {}, 0};
    plan.assignments.reserve(index.parts.size());
    for (std::size_t i = 0; i < index.parts.size(); ++i) {
        const std::optional<SearcherId> searcher = hooks_.chooseReplica(index.version, index.parts[i], {});
        if (searcher) {
            plan.assignments.push_back({*searcher, i});
            plan.width += index.parts[i].width();
        }
    }
    return plan;
}

// The newest version that can be served whole; if there is none, the one that can be served furthest.
Query::Plan Query::bestPlan(IndexVersion excluded) const
{
    Plan best;
    double bestShare = -1;
    for (const IndexMap &index : backEnd_->versions) {
        if (index.version == excluded) {
            continue;
        }
        Plan plan = planFor(index);
        if (plan.width == index.width) {
            return plan;
        }
        const double share = static_cast<double>(plan.width) / static_cast<double>(index.width);
        if (share > bestShare) {
            bestShare = share;
            best = std::move(plan);
        }
    }
    return best;
}

void Query::adopt(Plan plan, QueryActions &actions)
{
    index_ = plan.index;
    parts_.assign(index_ == nullptr ? 0 : index_->parts.size(), PartState());
    merger_.clear();
    coveredWidth_ = 0;
    coveredParts_ = 0;
    lostWidth_ = 0;
    firstCall_ = calls_.size();
    heldBack_ = std::move(plan.assignments);
    std::vector<SearcherId> searchers;
    for (const Assignment &assignment : heldBack_) {
        searchers.push_back(assignment.searcher);
    }
    neededCalls_ = distinctSearchers(std::move(searchers)).size();
    if (isProbing()) {
        sendProbe(actions);
    } else {
        sendHeldBack(actions);
    }
}

bool Query::isProbing() const noexcept
{
    return terms_.firstSend != FirstSend::All && !isProven_;
}

// Sends the calls of one more searcher whose answer shows that the query is harmless.
void Query::sendProbe(QueryActions &actions)
{
    std::vector<SearcherId> searchers;
    for (const Assignment &assignment : heldBack_) {
        searchers.push_back(assignment.searcher);
    }
    const std::optional<SearcherId> probe = hooks_.chooseProbe(distinctSearchers(std::move(searchers)));
    if (!probe || probes_ == maxProbes) {
        heldBack_.clear();
        return;
    }
    ++probes_;
    const std::vector<Assignment>::iterator rest
        = std::partition(heldBack_.begin(), heldBack_.end(), [probe](const Assignment &assignment) {
              return assignment.searcher == *probe;
          });
    std::vector<Assignment> first(heldBack_.begin(), rest);
    heldBack_.erase(heldBack_.begin(), rest);
    sendCalls(std::move(first), false, actions);
}

void Query::sendHeldBack(QueryActions &actions)
{
    if (!isProbing() && !heldBack_.empty()) {
        sendCalls(std::exchange(heldBack_, {}), false, actions);
    }
}

// A probe that was turned away is followed by another one; one that may have crashed its searcher ends the query.
void Query::onProbeFailed(CallOutcome outcome, QueryActions &actions)
{
    if (!isProbing() || openCalls_ > 0) {
        return;
    }
    if (terms_.firstSend == FirstSend::Suspect || outcome == CallOutcome::Failed) {
        heldBack_.clear();
    } else {
        sendProbe(actions);
    }
}

// Sends one call to each searcher of the assignments, with all parts assigned to it. An extra call is sent only if the
// budget has room for it.
void Query::sendCalls(std::vector<Assignment> assignments, bool isExtra, QueryActions &actions)
{
    std::sort(assignments.begin(), assignments.end(), [](const Assignment &a, const Assignment &b) {
        return a.searcher != b.searcher ? a.searcher < b.searcher : a.part < b.part;
    });
    std::size_t i = 0;
    while (i < assignments.size()) {
        const SearcherId searcher = assignments[i].searcher;
        std::size_t end = i;
        while (end < assignments.size() && assignments[end].searcher == searcher) {
            ++end;
        }
        if (isExtra && !hooks_.spendExtra()) {
            return;
        }
        CallState call{hooks_.nextCall(), searcher, {}, isExtra};
        SearchCall message{call.id, searcher, index_->version, {}, isExtra};
        for (; i < end; ++i) {
            const std::size_t position = assignments[i].part;
            PartState &part = parts_[position];
            part.tried.push_back(searcher);
            ++part.openCalls;
            ++part.calls;
            call.parts.push_back(position);
            message.parts.push_back(index_->parts[position].id);
        }
        ++openCalls_;
        calls_.push_back(std::move(call));
        actions.send.push_back(std::move(message));
    }
}

Query::CallState *Query::findCall(CallId id) noexcept
{
    const std::vector<CallState>::iterator first = calls_.begin() + static_cast<std::ptrdiff_t>(firstCall_);
    const std::vector<CallState>::iterator found = std::lower_bound(
        first, calls_.end(), id, [](const CallState &call, CallId wanted) { return call.id < wanted; });
    return found != calls_.end() && found->id == id ? &*found : nullptr;
}

// Merges each part of the call that is not covered yet. A part that the call did not ask for is ignored.
// Returns true if every part of the call is covered afterwards and the reply held nothing else.
bool Query::mergeParts(const CallState &call, std::vector<PartResult> results)
{
    bool isClean = true;
    for (PartResult &result : results) {
        const std::optional<std::size_t> position = index_->indexOf(result.part);
        const bool isAsked = position && std::find(call.parts.begin(), call.parts.end(), *position) != call.parts.end();
        if (!isAsked) {
            isClean = false;
            continue;
        }
        PartState &part = parts_[*position];
        if (part.isCovered) {
            continue;
        }
        part.isCovered = true;
        coveredWidth_ += index_->parts[*position].width();
        ++coveredParts_;
        merger_.add(std::move(result.hits));
    }
    return isClean && std::all_of(call.parts.begin(), call.parts.end(), [this](std::size_t position) {
               return parts_[position].isCovered;
           });
}

void Query::closeCall(CallState &call, Errc error)
{
    call.isOpen = false;
    --openCalls_;
    for (const std::size_t position : call.parts) {
        PartState &part = parts_[position];
        --part.openCalls;
        part.wasSent = part.wasSent || call.wasSent;
        part.lastError = error;
    }
}

// Asks again for each part of a failed call that no other call works on. A part whose calls never reached a searcher
// costs no extra load, and its searcher may be reached through another holder.
void Query::recover(TimePoint now, const CallState &call, const SearchReply &reply, QueryActions &actions)
{
    std::vector<Assignment> free;
    std::vector<Assignment> extra;
    const bool isHolderRefusal
        = !call.wasSent && reply.outcome == CallOutcome::Refused && reply.error != Errc::ConnectFailed;
    for (const std::size_t position : call.parts) {
        PartState &part = parts_[position];
        if (part.isCovered || part.openCalls > 0) {
            continue;
        }
        if (isHolderRefusal) {
            std::erase(part.tried, call.searcher);
        }
        const std::optional<SearcherId> searcher = part.calls < maxCallsPerPart
            ? hooks_.chooseReplica(index_->version, index_->parts[position], part.tried)
            : std::nullopt;
        if (searcher) {
            std::vector<Assignment> &list = part.wasSent ? extra : free;
            list.push_back({*searcher, position});
        } else {
            lostWidth_ += index_->parts[position].width();
        }
    }
    if (reply.outcome == CallOutcome::WrongVersion && restart(now, actions)) {
        return;
    }
    sendCalls(std::move(free), false, actions);
    sendCalls(std::move(extra), true, actions);
}

void Query::hedge(QueryActions &actions)
{
    if (isProbing()) {
        if (terms_.firstSend == FirstSend::ProbeFirst) {
            sendProbe(actions);
        }
        return;
    }
    std::vector<Assignment> assignments;
    for (std::size_t i = 0; i < parts_.size(); ++i) {
        const PartState &part = parts_[i];
        if (part.isCovered || part.openCalls == 0) {
            continue;
        }
        const std::optional<SearcherId> searcher = hooks_.chooseReplica(index_->version, index_->parts[i], part.tried);
        if (searcher) {
            assignments.push_back({*searcher, i});
        }
    }
    sendCalls(std::move(assignments), true, actions);
}

// Starts again at another version if this one can no longer reach the quorum and the other one reaches further.
bool Query::restart(TimePoint now, QueryActions &actions)
{
    const double reachable = static_cast<double>(index_->width - lostWidth_) / static_cast<double>(index_->width);
    if (isRestarted_ || now >= terms_.deadline || reachable >= terms_.quorum
        || restartAttempts_ == maxRestartAttempts) {
        return false;
    }
    ++restartAttempts_;
    Plan plan = bestPlan(index_->version);
    if (plan.index == nullptr
        || static_cast<double>(plan.width) <= reachable * static_cast<double>(plan.index->width)) {
        return false;
    }
    isRestarted_ = true;
    cancelOpenCalls(actions);
    adopt(std::move(plan), actions);
    return true;
}

void Query::settle(TimePoint now, QueryActions &actions)
{
    if (isFinished_) {
        return;
    }
    if (isDone(now)) {
        finish(actions);
        return;
    }
    TimePoint wakeAt = terms_.deadline;
    if (!isHedged_) {
        wakeAt = std::min(wakeAt, terms_.hedgeAt);
    }
    if (now < terms_.earlyStopAt) {
        wakeAt = std::min(wakeAt, terms_.earlyStopAt);
    }
    actions.wakeAt = wakeAt;
}

bool Query::isDone(TimePoint now) const
{
    if (index_ == nullptr || (openCalls_ == 0 && heldBack_.empty()) || now >= terms_.deadline
        || coveredWidth_ == index_->width) {
        return true;
    }
    const double coverage = static_cast<double>(coveredWidth_) / static_cast<double>(index_->width);
    return now >= terms_.earlyStopAt && coverage >= terms_.quorum;
}

void Query::finish(QueryActions &actions)
{
    isFinished_ = true;
    QueryAnswer answer;
    answer.version = version();
    answer.totalParts = parts_.size();
    answer.coveredParts = coveredParts_;
    answer.coverage = index_ == nullptr ? 0 : static_cast<double>(coveredWidth_) / static_cast<double>(index_->width);
    answer.hits = merger_.take();
    for (std::size_t i = 0; i < parts_.size(); ++i) {
        const PartState &part = parts_[i];
        if (!part.isCovered) {
            answer.missed.push_back({index_->parts[i].id, part.openCalls > 0 ? Errc::Timeout : part.lastError});
        }
    }
    answer.neededCalls = neededCalls_;
    for (const CallState &call : calls_) {
        answer.sentCalls += call.wasSent ? 1 : 0;
        answer.extraCalls += call.wasSent && call.isExtra ? 1 : 0;
    }
    answer.isRestarted = isRestarted_;
    answer.droppedReplies = droppedReplies_;
    cancelOpenCalls(actions);
    actions.wakeAt.reset();
    actions.answer = std::move(answer);
}

void Query::cancelOpenCalls(QueryActions &actions)
{
    for (std::size_t i = firstCall_; i < calls_.size(); ++i) {
        if (calls_[i].isOpen) {
            calls_[i].isOpen = false;
            actions.cancel.push_back(calls_[i].id);
        }
    }
    openCalls_ = 0;
}

Query::Builder &Query::Builder::map(std::shared_ptr<const ShardMap> map, std::string_view backEnd)
{
    map_ = std::move(map);
    backEnd_ = backEnd;
    return *this;
}

Query::Builder &Query::Builder::terms(const QueryTerms &terms) noexcept
{
    terms_ = terms;
    return *this;
}

Query::Builder &Query::Builder::hooks(QueryHooks hooks)
{
    hooks_ = std::move(hooks);
    return *this;
}

Result<Query> Query::Builder::build(TimePoint now)
{
    const bool hasProbe = hooks_.chooseProbe || terms_.firstSend == FirstSend::All;
    if (!hooks_.chooseReplica || !hooks_.spendExtra || !hooks_.nextCall || !hasProbe) {
        return Error{Errc::Internal, Step::Route, {}, "a query hook is not set"};
    }
    if (terms_.deadline <= now) {
        return Error{Errc::DeadlinePassed, Step::Accept, {}, "the deadline has passed"};
    }
    const BackEndMap *backEnd = map_ == nullptr ? nullptr : map_->find(backEnd_);
    if (backEnd == nullptr || backEnd->versions.empty()) {
        return Error{
            Errc::NoSnapshot, Step::Route, {}, "no index version of back end \"" + backEnd_ + "\" is published"};
    }
    Query query;
    query.map_ = std::move(map_);
    query.backEnd_ = backEnd;
    query.terms_ = terms_;
    query.hooks_ = std::move(hooks_);
    query.merger_ = HitMerger(terms_.hitLimit);
    return query;
}

} // namespace sassafrasvane
