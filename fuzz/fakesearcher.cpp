#include "fakesearcher.h"

#include <algorithm>
#include <utility>

namespace sassafrasvane
{

std::optional<EndOfCall> FakeSearcher::take(const CallToServer &call)
{
    if (isDown_) {
        EndOfCall end = endOf(call, CallOutcome::Refused, Errc::ConnectFailed);
        end.reply.wasSent = false;
        end.isConnectionLost = true;
        end.serverIncarnation = {};
        return end;
    }
    if (!holds(call.call)) {
        return endOf(call, CallOutcome::WrongVersion, Errc::WrongVersion);
    }
    running_.push_back(call);
    return std::nullopt;
}

EndOfCall FakeSearcher::end(std::size_t position, AnswerKind kind)
{
    const CallToServer call = running_[position];
    running_.erase(running_.begin() + static_cast<std::ptrdiff_t>(position));
    if (kind == AnswerKind::Refused) {
        return endOf(call, CallOutcome::Refused, Errc::Refused);
    }
    if (kind == AnswerKind::Failed) {
        EndOfCall end = endOf(call, CallOutcome::Failed, Errc::ConnectionLost);
        end.isConnectionLost = true;
        end.serverIncarnation = {};
        return end;
    }
    ++answered_;
    const auto asked = versions_.find(call.call.version);
    const auto other = std::find_if(
        versions_.begin(), versions_.end(), [&](const auto &entry) { return entry.first != call.call.version; });
    const bool isOther = asked == versions_.end() || (kind == AnswerKind::OtherVersion && other != versions_.end());
    const auto found = isOther ? other : asked;
    if (found == versions_.end()) {
        return endOf(call, CallOutcome::WrongVersion, Errc::WrongVersion);
    }
    const IndexMap &index = *found->second;
    EndOfCall end = endOf(call, CallOutcome::Answered, Errc::Internal);
    end.reply.version = index.version;
    for (const PartId id : call.call.parts) {
        if (const std::optional<std::size_t> place = index.indexOf(id)) {
            end.reply.parts.push_back(resultOf(call, index, index.parts[*place]));
        }
    }
    if (kind == AnswerKind::Truncated && !end.reply.parts.empty()) {
        end.reply.parts.pop_back();
    }
    if (kind == AnswerKind::DoubledPart && !end.reply.parts.empty()) {
        end.reply.parts.push_back(end.reply.parts.front());
    }
    if (kind == AnswerKind::ForeignPart) {
        const Part &foreign = index.parts[call.leafCall.value % index.parts.size()];
        end.reply.parts.insert(end.reply.parts.begin(), resultOf(call, index, foreign));
    }
    return end;
}

std::vector<EndOfCall> FakeSearcher::dropExpired(TimePoint now)
{
    std::vector<EndOfCall> ends;
    std::erase_if(running_, [&](const CallToServer &call) {
        if (call.deadline > now) {
            return false;
        }
        EndOfCall end = endOf(call, CallOutcome::Failed, Errc::Timeout);
        end.serverIncarnation = {};
        ends.push_back(std::move(end));
        return true;
    });
    return ends;
}

std::vector<EndOfCall> FakeSearcher::restart(TimePoint now)
{
    restartedAt_ = now;
    std::vector<EndOfCall> ends;
    for (const CallToServer &call : std::exchange(running_, {})) {
        EndOfCall end = endOf(call, CallOutcome::Failed, Errc::ConnectionLost);
        end.isConnectionLost = true;
        end.serverIncarnation = {};
        ends.push_back(std::move(end));
    }
    ++incarnation_.value;
    answered_ = 0;
    return ends;
}

std::size_t FakeSearcher::bearable() const noexcept
{
    std::size_t bearable = searcherColdAllowance;
    for (std::size_t left = answered_; left >= ColdStart::successesPerStep() && bearable < searcherSlots;
         left -= ColdStart::successesPerStep()) {
        bearable *= 2;
    }
    return std::min<std::size_t>(bearable, searcherSlots);
}

std::size_t FakeSearcher::informedRunning() const noexcept
{
    return static_cast<std::size_t>(std::count_if(
        running_.begin(), running_.end(), [this](const CallToServer &call) { return call.knownLife == incarnation_; }));
}

EndOfCall FakeSearcher::endOf(const CallToServer &call, CallOutcome outcome, Errc error) const
{
    EndOfCall end;
    end.call = call;
    end.reply = {call.call.call, id_, call.call.version, outcome, error, true, {}};
    end.serverIncarnation = incarnation_;
    return end;
}

bool FakeSearcher::holds(const SearchCall &call) const
{
    const auto found = versions_.find(call.version);
    return found != versions_.end() && std::all_of(call.parts.begin(), call.parts.end(), [&](PartId part) {
               return found->second->indexOf(part).has_value();
           });
}

PartResult FakeSearcher::resultOf(const CallToServer &call, const IndexMap &index, const Part &part)
{
    return {part.id, rightHits(index.version, part.begin, part.end, call.origin.caller)};
}

} // namespace sassafrasvane
