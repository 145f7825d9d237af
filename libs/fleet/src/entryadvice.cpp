#include "fleet/entryadvice.h"

#include <algorithm>

namespace sassafrasvane
{

namespace
{

/// A daemon in the caller's failure domain may exceed maxNearLoadRatio times the mean by this many answers, because the
/// ratio is too strict while the counts are small.
constexpr double nearLoadSlack = 2;

bool isTakenOut(std::span<const std::string> domainsOut, const std::string &failureDomain) noexcept
{
    return std::find(domainsOut.begin(), domainsOut.end(), failureDomain) != domainsOut.end();
}

} // namespace

void EntryAdvice::setMembers(const MemberRecord &self,
                             std::span<const Member> members,
                             std::span<const std::string> domainsOut)
{
    std::vector<Member> all(members.begin(), members.end());
    all.push_back({self, TimePoint(), false});
    const auto isUsable = [&domainsOut](const Member &member) {
        return member.takesWork() && !isTakenOut(domainsOut, member.record.failureDomain);
    };
    // The answer must not be empty: if no daemon is usable, all alive and suspected ones are candidates.
    const bool isAnyUsable = std::any_of(all.begin(), all.end(), isUsable);
    std::erase_if(all, [isAnyUsable, &isUsable](const Member &member) {
        const bool isReachable
            = member.record.state == MemberState::Alive || member.record.state == MemberState::Suspect;
        return isAnyUsable ? !isUsable(member) : !isReachable;
    });
    if (all.empty()) {
        all.push_back({self, TimePoint(), false});
    }
    std::vector<Candidate> next;
    for (const Member &member : all) {
        const MemberRecord &record = member.record;
        next.push_back({record.daemon, record.callerAddress, record.failureDomain, 0, mix(record.daemon.value)});
    }
    std::sort(next.begin(), next.end(), [](const Candidate &first, const Candidate &second) {
        return first.ringPosition < second.ringPosition;
    });
    totalAdvised_ = 0;
    for (Candidate &candidate : next) {
        const auto former = std::find_if(candidates_.begin(), candidates_.end(), [&candidate](const Candidate &other) {
            return other.daemon == candidate.daemon;
        });
        candidate.timesAdvised = former == candidates_.end() ? 0 : former->timesAdvised;
        totalAdvised_ += candidate.timesAdvised;
    }
    candidates_ = std::move(next);
}

void EntryAdvice::startWindow(TimePoint now)
{
    if (now < windowEnd_) {
        return;
    }
    windowEnd_ = now + limits_.lifetime;
    totalAdvised_ = 0;
    for (Candidate &candidate : candidates_) {
        candidate.timesAdvised = 0;
    }
}

std::size_t EntryAdvice::leastAdvised(std::string_view failureDomain) const
{
    const std::uint64_t ownPosition = mix(self_.value);
    std::size_t best = candidates_.size();
    for (std::size_t index = 0; index < candidates_.size(); ++index) {
        const Candidate &candidate = candidates_[index];
        if (!failureDomain.empty() && candidate.failureDomain != failureDomain) {
            continue;
        }
        // Distances from this daemon's position on the ring of 64-bit hashes.
        const bool isBetter = best == candidates_.size()
            || std::pair(candidate.timesAdvised, candidate.ringPosition - ownPosition)
                < std::pair(candidates_[best].timesAdvised, candidates_[best].ringPosition - ownPosition);
        best = isBetter ? index : best;
    }
    return best;
}

std::size_t EntryAdvice::chooseFirst(std::string_view failureDomain) const
{
    const std::size_t near = leastAdvised(failureDomain);
    if (failureDomain.empty() || near == candidates_.size()) {
        return leastAdvised({});
    }
    const double mean = static_cast<double>(totalAdvised_) / static_cast<double>(candidates_.size());
    const bool isOverloaded = candidates_[near].timesAdvised > limits_.maxNearLoadRatio * mean + nearLoadSlack;
    return isOverloaded ? leastAdvised({}) : near;
}

void EntryAdvice::addAlternatives(std::size_t first, std::vector<Address> &addresses)
{
    std::vector<std::size_t> others;
    for (std::size_t index = 0; index < candidates_.size(); ++index) {
        if (index != first) {
            others.push_back(index);
        }
    }
    for (std::size_t index = others.size(); index > 1; --index) {
        std::swap(others[index - 1], others[random_.below(index)]);
    }
    std::vector<std::string_view> domains{candidates_[first].failureDomain};
    // One daemon of each other failure domain first, then the rest.
    std::stable_partition(others.begin(), others.end(), [this, &domains](std::size_t index) {
        const std::string_view domain = candidates_[index].failureDomain;
        const bool isNew = std::find(domains.begin(), domains.end(), domain) == domains.end();
        if (isNew) {
            domains.push_back(domain);
        }
        return isNew;
    });
    for (const std::size_t index : others) {
        if (addresses.size() >= limits_.maxAddresses) {
            break;
        }
        addresses.push_back(candidates_[index].callerAddress);
    }
}

Duration EntryAdvice::drawLifetime() noexcept
{
    const double factor = 1 + limits_.lifetimeJitter * (2 * random_.unit() - 1);
    return Duration(static_cast<Duration::rep>(static_cast<double>(limits_.lifetime.count()) * factor));
}

Advice EntryAdvice::advise(TimePoint now, std::string_view failureDomain)
{
    startWindow(now);
    const std::size_t first = chooseFirst(failureDomain);
    ++candidates_[first].timesAdvised;
    ++totalAdvised_;
    Advice advice;
    advice.addresses.push_back(candidates_[first].callerAddress);
    addAlternatives(first, advice.addresses);
    advice.lifetime = drawLifetime();
    return advice;
}

EntryAdvice::Builder &EntryAdvice::Builder::self(const MemberRecord &record)
{
    self_ = record;
    return *this;
}

EntryAdvice::Builder &EntryAdvice::Builder::seed(std::uint64_t seed) noexcept
{
    seed_ = seed;
    return *this;
}

EntryAdvice::Builder &EntryAdvice::Builder::limits(const AdviceLimits &limits) noexcept
{
    limits_ = limits;
    return *this;
}

EntryAdvice EntryAdvice::Builder::build(TimePoint now) const
{
    EntryAdvice advice;
    advice.limits_ = limits_;
    advice.random_ = Random(seed_);
    advice.self_ = self_.daemon;
    advice.windowEnd_ = now;
    advice.setMembers(self_, {}, {});
    return advice;
}

} // namespace sassafrasvane
