#pragma once

#include "base/error.h"
#include "base/random.h"
#include "fleet/membership.h"
#include "fleet/messages.h"

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// How published values reach every daemon and never revert.

namespace sassafrasvane
{

namespace detail
{
class PublishedValue;
class ServiceReadScheduler;
} // namespace detail

/// Checks a published text whole. Returns Errc::InvalidConfiguration that names every fault.
using ValueValidator = std::function<Result<void>(ConfigKey, ConfigVersion, std::string_view)>;

/// Periods and bounds of the spread.
struct DistributionLimits {
    /// Daemons of a failure domain that watch one key at the service.
    std::size_t readersPerDomain = 2;
    /// Time that a watch waits at the service for a change.
    Duration watchTimeout = std::chrono::seconds(1);
    /// Shortest time between two reads of a key by one daemon, and longest after failures.
    Duration minReadInterval = std::chrono::milliseconds(250);
    Duration maxReadInterval = std::chrono::seconds(4);
    /// Age of the service's last confirmation over which daemons that are no readers try it too.
    Duration staleAfter = std::chrono::seconds(3);
    /// A newcomer trusts nobody before this time, unless it has heard newcomerPeers and the service.
    Duration joinDelay = std::chrono::seconds(2);
    std::size_t minJoinPeers = 3;
    /// A newcomer that could not fetch its peers' version by then takes the service's.
    Duration joinTimeout = std::chrono::seconds(15);
    /// Peers to which an accepted version is announced.
    std::size_t announceFanout = 3;
    /// Chunks a second in the long run, and at once.
    double chunksPerSecond = 16;
    double chunkBurst = 128;
    /// Chunks asked for at once.
    std::uint32_t chunkWindow = 16;
    /// Time without progress after which chunks are asked for again.
    Duration retryAfter = std::chrono::milliseconds(200);
};

/// A read of the service to make. Counts as one call, also while it waits.
struct ServiceRead {
    ConfigKey key = ConfigKey::Configuration;
    /// Wait until the version is above this one; 0 and no wait for a plain read.
    ConfigVersion after;
    Duration wait{0};
};

/// A message to send.
struct ConfigSend {
    DaemonId to;
    ConfigMessage message;
};

/// A value that is in force from now on.
struct AcceptedValue {
    ConfigKey key = ConfigKey::Configuration;
    ConfigVersion version;
    std::shared_ptr<const std::string> text;
};

/// A value that was refused whole; the last accepted one stays.
struct RefusedValue {
    ConfigKey key = ConfigKey::Configuration;
    ConfigVersion version;
    Error error;
};

/// What ConfigSpread wants done after an event. The caller clears it before the next one.
struct DistributionActions {
    std::vector<ConfigSend> sends;
    std::vector<ServiceRead> reads;
    std::vector<AcceptedValue> accepted;
    std::vector<RefusedValue> refused;
    /// A list of VMs that a newcomer has read but may not trust yet: it is not in force, but Membership::setPublished()
    /// takes it to find the peers to ask.
    std::optional<AcceptedValue> provisionalVms;
    /// When onTimer() wants to be called.
    std::optional<TimePoint> wakeAt;

    /// Empties all lists.
    void clear() noexcept;
};

/// What was counted since the start.
struct DistributionCounters {
    std::uint64_t serviceCalls = 0;
    std::uint64_t serviceFailures = 0;
    /// Replies of the service with an older version than the one in force.
    std::uint64_t staleReplies = 0;
    std::uint64_t deltasApplied = 0;
    std::uint64_t fullTextsReceived = 0;
    /// Bodies that did not match their digest.
    std::uint64_t digestMismatches = 0;
    /// Two texts under one version; the first one stays.
    std::uint64_t conflicts = 0;
    std::uint64_t refusedMessages = 0;
    /// Chunks not sent because of their bound.
    std::uint64_t suppressedChunks = 0;
};

/// Spreads the published values: a few daemons of each failure domain watch the service, chosen by rendezvous hashing
/// without any message; an accepted version is announced to random peers, who fetch the difference and announce it in
/// turn; whoever missed that sees the version in the next membership message. Versions only rise.
///
/// Every read in SpreadActions::reads is answered once by onServiceReply() or onServiceFailed(); one read a key is out
/// at any time.
///
/// \code
/// ConfigSpread spread = ConfigSpread::Builder().self(record).validator(validate).seed(seed).build(now);
/// spread.setMembers(now, membership.members());
/// spread.onPeerStatus(now, contact.peer, contact.status, actions);
/// membership.setStatus(spread.status(now));
/// \endcode
class ConfigDistributor
{
public:
    class Builder;

    ConfigDistributor(ConfigDistributor &&) noexcept;
    ConfigDistributor &operator=(ConfigDistributor &&) noexcept;
    ~ConfigDistributor();

    /// Takes a message that the codec has accepted.
    /// \return an Error of Step::Gossip if it is refused; a refused message changes no value.
    Result<void> handle(TimePoint now, const ConfigMessage &message, DistributionActions &actions);

    /// Takes what a peer says of itself in a membership message.
    void onPeerStatus(TimePoint now, DaemonId peer, const ConfigStatus &status, DistributionActions &actions);

    /// Takes the service's answer to a read. \param text may be empty if \p version is not above the one in force.
    void onServiceReply(TimePoint now,
                        ConfigKey key,
                        ConfigVersion version,
                        std::string text,
                        DistributionActions &actions);

    /// Takes the failure of a read.
    void onServiceFailed(TimePoint now, ConfigKey key, DistributionActions &actions);

    /// Reads, repeats requests and ends the newcomer's wait.
    void onTimer(TimePoint now, DistributionActions &actions);

    /// Reads a key now, if no read of it is out: the refresh of a daemon that slept.
    void readNow(TimePoint now, ConfigKey key, DistributionActions &actions);

    /// Sets who belongs to the fleet; call it after each change of the membership.
    void setMembers(TimePoint now, std::span<const Member> members);

    /// What this daemon says of itself in membership messages.
    ConfigStatus status(TimePoint now) const noexcept;

    /// True if \p status names a version above the one in force here that was not refused.
    bool isBehind(const ConfigStatus &status) const noexcept;

    /// True once each key has a value, or the newcomer's bound has passed without one.
    bool isReady() const noexcept;

    /// The version of \p key in force; 0 for none.
    ConfigVersion version(ConfigKey key) const noexcept;

    /// The text of \p key in force, or nullptr.
    std::shared_ptr<const std::string> text(ConfigKey key) const noexcept;

    /// True if this daemon is one of its failure domain's readers of \p key.
    bool isReader(ConfigKey key) const noexcept;

    const DistributionCounters &counters() const noexcept { return counters_; }

private:
    ConfigDistributor();
    detail::PublishedValue &value(ConfigKey key) noexcept;
    const detail::PublishedValue &value(ConfigKey key) const noexcept;
    void onAnnounced(TimePoint now, ConfigKey key, ConfigVersion version, DaemonId peer, DistributionActions &actions);
    Result<void> onChunk(TimePoint now, const ConfigMessage &message, DistributionActions &actions);
    void sendChunks(TimePoint now, const ConfigMessage &request, DistributionActions &actions);
    void finishTransfer(TimePoint now, ConfigKey key, DistributionActions &actions);
    void validateAndAccept(TimePoint now,
                           ConfigKey key,
                           ConfigVersion version,
                           std::string text,
                           DistributionActions &actions);
    void announce(ConfigKey key, DistributionActions &actions);
    void tryFinishJoin(TimePoint now, ConfigKey key, DistributionActions &actions);
    void startReads(TimePoint now, DistributionActions &actions);
    void request(TimePoint now, ConfigKey key, DistributionActions &actions);
    void retryRequest(TimePoint now, ConfigKey key, DistributionActions &actions);
    void updateWakeAt(TimePoint now, DistributionActions &actions) const;
    Error refuse(Errc reason, DaemonId peer, const char *detail);

    DistributionLimits limits_;
    DaemonId self_;
    ValueValidator validator_;
    DistributionCounters counters_;
    std::vector<DaemonId> peers_;
    TimePoint startedAt_;
    struct State;
    std::unique_ptr<State> state_;
};

/// Collects what a ConfigSpread needs.
class ConfigDistributor::Builder
{
public:
    /// This daemon's record, for its id and failure domain.
    Builder &self(const MemberRecord &record);

    /// The check of each value; without one all are valid.
    Builder &validator(ValueValidator validator);

    /// Seed of the random choices.
    Builder &seed(std::uint64_t seed) noexcept;

    /// Periods and bounds.
    Builder &limits(const DistributionLimits &limits) noexcept;

    /// \return the spread, without any value.
    ConfigDistributor build(TimePoint now) const;

private:
    MemberRecord self_;
    ValueValidator validator_;
    std::uint64_t seed_ = 1;
    DistributionLimits limits_;
};

} // namespace sassafrasvane
