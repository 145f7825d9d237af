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
/// Distribution of the published values to every daemon. A daemon never goes back to an older version.

namespace sassafrasvane
{

namespace detail
{
class PublishedValue;
class ServiceReadScheduler;
} // namespace detail

/// Validates the text of a published value. Returns Errc::InvalidConfiguration with a list of all faults.
using ValueValidator = std::function<Result<void>(ConfigKey, ConfigVersion, std::string_view)>;

/// Intervals and limits of a ConfigDistributor.
struct DistributionLimits {
    /// Number of daemons of a failure domain that watch one key at the service.
    std::size_t readersPerDomain = 2;
    /// Time for which the service holds a watch if the key does not change.
    Duration watchTimeout = std::chrono::seconds(1);
    /// Minimum time between two reads of a key by one daemon, and maximum backoff after failed reads.
    Duration minReadInterval = std::chrono::milliseconds(250);
    Duration maxReadInterval = std::chrono::seconds(4);
    /// If the service has not confirmed the version in force for this time, daemons that are not readers read it too.
    Duration staleAfter = std::chrono::seconds(3);
    /// A joining daemon accepts no value before this time has passed, unless the service has answered and minJoinPeers
    /// peers, or all of a smaller fleet, have sent a version.
    Duration joinDelay = std::chrono::seconds(2);
    std::size_t minJoinPeers = 3;
    /// A joining daemon that could not fetch its peers' version within this time accepts the service's.
    Duration joinTimeout = std::chrono::seconds(15);
    /// Number of random peers to which an accepted version is announced.
    std::size_t announceFanout = 3;
    /// Token bucket for the chunks that are sent: tokens a second, and burst size.
    double chunksPerSecond = 16;
    double chunkBurst = 128;
    /// Chunks requested, and sent, per request.
    std::uint32_t chunkWindow = 16;
    /// Time without a received chunk after which the request is repeated.
    Duration retryAfter = std::chrono::milliseconds(200);
};

/// A read of the service that the caller shall make. It counts as one call, also if the service holds it.
struct ServiceRead {
    ConfigKey key = ConfigKey::Configuration;
    /// For a watch: the service answers once the version is above `after`, or after `wait`. Both are 0 for a plain
    /// read.
    ConfigVersion after;
    Duration wait{0};
};

/// A message that the caller shall send to a peer.
struct ConfigSend {
    DaemonId to;
    ConfigMessage message;
};

/// A value that has just come into force.
struct AcceptedValue {
    ConfigKey key = ConfigKey::Configuration;
    ConfigVersion version;
    std::shared_ptr<const std::string> text;
};

/// A value that failed validation. The last accepted version stays in force.
struct RefusedValue {
    ConfigKey key = ConfigKey::Configuration;
    ConfigVersion version;
    Error error;
};

/// Actions that ConfigDistributor requests after an event. The caller carries them out and clears them before the next
/// event.
struct DistributionActions {
    std::vector<ConfigSend> sends;
    std::vector<ServiceRead> reads;
    std::vector<AcceptedValue> accepted;
    std::vector<RefusedValue> refused;
    /// A list of VMs that a joining daemon has read from the service. It is not in force yet, since the service may be
    /// stale, but Membership::setPublished() takes it to find peers.
    std::optional<AcceptedValue> provisionalVms;
    /// When onTimer() must be called next.
    std::optional<TimePoint> wakeAt;

    /// Empties all lists.
    void clear() noexcept;
};

/// Counters since the start of the process.
struct DistributionCounters {
    std::uint64_t serviceCalls = 0;
    std::uint64_t serviceFailures = 0;
    /// Replies of the service with a version older than the one in force.
    std::uint64_t staleReplies = 0;
    std::uint64_t deltasApplied = 0;
    std::uint64_t fullTextsReceived = 0;
    /// Completed transfers whose text did not match its digest.
    std::uint64_t digestMismatches = 0;
    /// Different texts received under the version in force; the first one stays.
    std::uint64_t conflicts = 0;
    std::uint64_t refusedMessages = 0;
    /// Chunks not sent because of the limit on chunks a second.
    std::uint64_t suppressedChunks = 0;
};

/// Distributes the published values to all daemons.
///
/// A few daemons of each failure domain watch the service; rendezvous hashing chooses them without any message. A
/// daemon that accepts a version announces it to random peers, which fetch the difference and announce it in turn. A
/// daemon that missed the announcements sees the version in the next membership message. Versions only rise.
///
/// The caller answers every read in DistributionActions::reads exactly once, by onServiceReply() or onServiceFailed().
/// At most one read of each key is in flight.
///
/// \code
/// ConfigDistributor distributor
///     = ConfigDistributor::Builder().self(record).validator(validate).seed(seed).build(now);
/// distributor.setMembers(now, membership.members());
/// distributor.onPeerStatus(now, contact.peer, contact.status, actions);
/// membership.setStatus(distributor.status(now));
/// \endcode
class ConfigDistributor
{
public:
    class Builder;

    ConfigDistributor(ConfigDistributor &&) noexcept;
    ConfigDistributor &operator=(ConfigDistributor &&) noexcept;
    ~ConfigDistributor();

    /// Handles a message that the codec has accepted.
    /// \return an Error of Step::Gossip if the message is refused; a refused message changes no value.
    Result<void> handle(TimePoint now, const ConfigMessage &message, DistributionActions &actions);

    /// Handles the status that a peer sent in a membership message.
    void onPeerStatus(TimePoint now, DaemonId peer, const ConfigStatus &status, DistributionActions &actions);

    /// Handles the service's answer to a read.
    /// \param text may be empty if \p version is not above the one in force.
    void onServiceReply(TimePoint now,
                        ConfigKey key,
                        ConfigVersion version,
                        std::string text,
                        DistributionActions &actions);

    /// Handles the failure of a read.
    void onServiceFailed(TimePoint now, ConfigKey key, DistributionActions &actions);

    /// Starts reads that are due, repeats requests that timed out and ends the join phase in time.
    void onTimer(TimePoint now, DistributionActions &actions);

    /// Reads a key now, unless a read of it is in flight. A daemon that was suspended refreshes its values with it.
    void readNow(TimePoint now, ConfigKey key, DistributionActions &actions);

    /// Sets the members of the fleet. Must be called after each change of the membership.
    void setMembers(TimePoint now, std::span<const Member> members);

    /// The status that this daemon sends in membership messages.
    ConfigStatus status(TimePoint now) const noexcept;

    /// True if \p status has a version that is above the one in force here and was not refused here.
    bool isBehind(const ConfigStatus &status) const noexcept;

    /// True once the join phase of each key is over and each key has a value or DistributionLimits::joinTimeout has
    /// passed.
    bool isReady() const noexcept;

    /// The version of \p key in force; 0 for none.
    ConfigVersion version(ConfigKey key) const noexcept;

    /// The text of \p key in force, or nullptr.
    std::shared_ptr<const std::string> text(ConfigKey key) const noexcept;

    /// True if this daemon is one of the daemons of its failure domain that watch \p key at the service.
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

/// Builds a ConfigDistributor.
class ConfigDistributor::Builder
{
public:
    /// Sets this daemon's record, for its id and failure domain.
    Builder &self(const MemberRecord &record);

    /// Sets the validator of values. Without one all values are valid.
    Builder &validator(ValueValidator validator);

    /// Sets the seed of the random choices.
    Builder &seed(std::uint64_t seed) noexcept;

    /// Sets intervals and limits.
    Builder &limits(const DistributionLimits &limits) noexcept;

    /// \return a distributor without any value, which starts its join phase at \p now.
    ConfigDistributor build(TimePoint now) const;

private:
    MemberRecord self_;
    ValueValidator validator_;
    std::uint64_t seed_ = 1;
    DistributionLimits limits_;
};

} // namespace sassafrasvane
