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

/// Limits of the advice given to callers.
struct AdviceLimits {
    /// Maximum number of addresses in one answer.
    std::size_t maxAddresses = 3;
    /// Mean lifetime of an answer.
    Duration lifetime = std::chrono::seconds(60);
    /// Lifetimes are drawn evenly from the mean plus or minus this fraction of it.
    double lifetimeJitter = 0.2;
    /// A daemon in the caller's failure domain is preferred until it has been advised more than this many times as
    /// often as the mean daemon.
    double maxNearLoadRatio = 1.25;

    /// Maximum lifetime of an answer. A leaving daemon must keep serving for this long.
    Duration maxLifetime() const noexcept
    {
        return Duration(static_cast<Duration::rep>(static_cast<double>(lifetime.count()) * (1 + lifetimeJitter)));
    }
};

/// The answer to a caller that asks which daemons to use.
struct Advice {
    /// Ordered by preference; never empty.
    std::vector<Address> addresses;
    /// How long the caller may use the answer.
    Duration lifetime{0};
};

/// Advises callers which daemons to use.
///
/// Within a lifetime, each daemon puts every usable daemon first equally often. It starts with itself and then follows
/// a hash ring that all daemons share. Because each starts at its own position, the load is even over the whole fleet,
/// also when each daemon is asked only a few times a lifetime.
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

    /// Sets the daemons that may be advised.
    /// \param self this daemon's record, with its current phase.
    /// \param domainsOut failure domains that operators have taken out of service.
    void setMembers(const MemberRecord &self, std::span<const Member> members, std::span<const std::string> domainsOut);

    /// \param failureDomain the caller's failure domain; empty if the caller does not give one.
    /// \return addresses in as many different failure domains as possible. If no daemon is usable, the addresses of
    /// daemons that are suspected, leaving or taken out, which may include this one.
    Advice advise(TimePoint now, std::string_view failureDomain);

    const AdviceLimits &limits() const noexcept { return limits_; }

private:
    struct Candidate {
        DaemonId daemon;
        Address callerAddress;
        std::string failureDomain;
        /// How often it was put first within the current window.
        std::uint32_t timesAdvised = 0;
        /// Position on the hash ring that all daemons share.
        std::uint64_t ringPosition = 0;
    };

    EntryAdvice() = default;
    void startWindow(TimePoint now);
    /// The candidate advised least often; among equals, the next one on the ring from this daemon's position. Only
    /// candidates of \p failureDomain are considered unless it is empty.
    /// \return its index, or candidates_.size() if there is none.
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

/// Builds an EntryAdvice.
class EntryAdvice::Builder
{
public:
    /// Sets this daemon's record.
    Builder &self(const MemberRecord &record);

    /// Sets the seed of the random choices.
    Builder &seed(std::uint64_t seed) noexcept;

    /// Sets the limits of the advice.
    Builder &limits(const AdviceLimits &limits) noexcept;

    /// \return an EntryAdvice that advises only this daemon until setMembers() is called.
    EntryAdvice build(TimePoint now) const;

private:
    MemberRecord self_;
    std::uint64_t seed_ = 1;
    AdviceLimits limits_;
};

} // namespace sassafrasvane
