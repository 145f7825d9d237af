#pragma once

#include "base/address.h"
#include "base/random.h"
#include "base/time.h"
#include "fleet/membership.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Which addresses a caller should use.

namespace sassafrasvane
{

/// Bounds of the advice.
struct AdviceLimits {
    /// Addresses given to a caller.
    std::size_t maxAddresses = 3;
    /// Mean lifetime of an advice, and the part of it by which lifetimes differ either way.
    Duration lifetime = std::chrono::seconds(60);
    double lifetimeJitter = 0.2;
    /// A near daemon is preferred while it has got at most this multiple of the mean.
    double maxNearLoadRatio = 1.25;

    /// The longest lifetime: how long a leaving daemon must go on serving.
    Duration maxLifetime() const noexcept
    {
        return Duration(static_cast<Duration::rep>(static_cast<double>(lifetime.count()) * (1 + lifetimeJitter)));
    }
};

/// An answer to a caller.
struct Advice {
    /// The best first; never empty.
    std::vector<Address> addresses;
    /// How long the caller may keep it.
    Duration lifetime{0};
};

/// Advises callers which daemons to use.
///
/// Each daemon gives every usable daemon equally often within a lifetime. It starts with itself and goes on in an order
/// that all share: so the arcs of many advisers overlap evenly, also when each is asked only a few times a lifetime.
///
/// \code
/// EntryAdvice advice = EntryAdvice::Builder().self(membership.self()).seed(seed).build(now);
/// advice.setMembers(membership.self(), membership.members(), configuration.domainsOut);
/// const Advice answer = advice.advise(now, "nairobi-a");
/// \endcode
class EntryAdvice
{
public:
    class Builder;

    /// Sets who may be advised.
    /// \param self this daemon's record with its phase.
    /// \param domainsOut failure domains that operators have taken out.
    void setMembers(const MemberRecord &self, std::span<const Member> members, std::span<const std::string> domainsOut);

    /// \param failureDomain where the caller says it is; empty if it does not say.
    /// \return addresses of different failure domains as far as there are some. If no daemon may be used, those that
    /// are suspected or leaving, this one among them.
    Advice advise(TimePoint now, std::string_view failureDomain);

    const AdviceLimits &limits() const noexcept { return limits_; }

private:
    struct Candidate {
        DaemonId daemon;
        Address callerAddress;
        std::string failureDomain;
        /// Times given as the best within the present lifetime.
        std::uint32_t timesAdvised = 0;
        /// Place in the order that all daemons share.
        std::uint64_t ringPosition = 0;
    };

    EntryAdvice() = default;
    void startWindow(TimePoint now);
    /// The least often given candidate, of \p failureDomain unless that is empty; the own place decides between equals.
    std::size_t leastAdvised(std::string_view failureDomain) const;
    std::size_t chooseFirst(std::string_view failureDomain) const;
    void addAlternatives(std::size_t first, std::vector<Address> &addresses);
    Duration drawLifetime() noexcept;

    AdviceLimits limits_;
    Random random_{1};
    DaemonId self_;
    /// Never empty.
    std::vector<Candidate> candidates_;
    std::uint64_t totalAdvised_ = 0;
    TimePoint windowEnd_;
};

/// Collects what an EntryAdvice needs.
class EntryAdvice::Builder
{
public:
    /// This daemon's record.
    Builder &self(const MemberRecord &record);

    /// Seed of the random choices.
    Builder &seed(std::uint64_t seed) noexcept;

    /// Bounds of the advice.
    Builder &limits(const AdviceLimits &limits) noexcept;

    /// \return the advice, which names only this daemon until setMembers() is called.
    EntryAdvice build(TimePoint now) const;

private:
    MemberRecord self_;
    std::uint64_t seed_ = 1;
    AdviceLimits limits_;
};

} // namespace sassafrasvane
