#include "daemon/fleettask.h"

#include "base/random.h"
#include "daemon/eventloop.h"
#include "fleet/gossipcodec.h"
#include "settings/published.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/udp.hpp>

#include <algorithm>
#include <array>
#include <future>
#include <mutex>

namespace sassafrasvane
{

namespace
{

using namespace std::chrono_literals;
using boost::asio::ip::udp;

constexpr std::size_t receiveBufferSize = 2048;
/// Mean lifetime of the addresses given to callers. It bounds how long a planned stop takes.
constexpr Duration adviceLifetime = 20s;

udp::endpoint endpointOf(const Address &address)
{
    return {boost::asio::ip::address_v4(address.ip), address.port};
}

MemberRecord recordOf(const FleetIdentity &identity)
{
    MemberRecord record;
    record.daemon = identity.daemon;
    record.incarnation = identity.incarnation;
    record.callerAddress = identity.callers;
    record.failureDomain = identity.failureDomain;
    record.region = identity.region;
    return record;
}

Result<void> validate(ConfigKey key, ConfigVersion version, std::string_view text)
{
    switch (key) {
    case ConfigKey::Configuration:
        if (const Result<Configuration> read = readConfiguration(text, version); read.has_error()) {
            return read.error();
        }
        break;
    case ConfigKey::ShardMap:
        if (const Result<ShardMap> read = readShardMap(text, version); read.has_error()) {
            return read.error();
        }
        break;
    case ConfigKey::Vms:
        if (const Result<VmList> read = readVmList(text, version); read.has_error()) {
            return read.error();
        }
        break;
    }
    return boost::outcome_v2::success();
}

AdviceLimits adviceLimits()
{
    AdviceLimits limits;
    limits.lifetime = adviceLifetime;
    return limits;
}

} // namespace

struct FleetTask::Implementation {
    Implementation(const FleetIdentity &identity, GossipCodec codec, FleetHooks hooks)
        : hooks(std::move(hooks))
        , codec(std::move(codec))
        , seed(mix(identity.daemon.value, identity.incarnation.value))
        , startedAt(BootClock::now())
        , membership(Membership::Builder().self(recordOf(identity)).seed(seed).build(startedAt))
        , distributor(ConfigDistributor::Builder()
                          .self(recordOf(identity))
                          .validator(validate)
                          .seed(mix(seed))
                          .build(startedAt))
        , lease(startedAt)
        , advice(EntryAdvice::Builder().self(recordOf(identity)).seed(seed).limits(adviceLimits()).build(startedAt))
    {
    }

    EventLoop loop{"fleet"};
    udp::socket socket{loop.context()};
    std::array<char, receiveBufferSize> input{};
    udp::endpoint sender;
    FleetHooks hooks;
    GossipCodec codec;
    std::uint64_t seed;
    TimePoint startedAt;
    Membership membership;
    ConfigDistributor distributor;
    MembershipActions memberActions;
    DistributionActions distributionActions;
    std::vector<std::string> domainsOut;
    /// When the service was last asked for each key with success. What is known is as old as the oldest of them.
    std::array<TimePoint, configKeyCount> serviceAskedAt;
    /// The timers that count; earlier ones that still fire are ignored.
    TimePoint membershipWake;
    TimePoint distributionWake;
    TimePoint leaseWake;

    mutable std::mutex sharedMutex;
    FreshnessLease lease;
    EntryAdvice advice;
    FleetCounters counters;

    void receive();
    void take(std::string_view bytes);
    void apply();
    void applyMembership();
    void applyDistribution();
    void adoptMembers();
    void onContact(const PeerContact &contact);
    void applyLease(const LeaseActions &actions);
    void send(DaemonId to, const FleetMessage &message);
    void schedule(TimePoint &slot, const std::optional<TimePoint> &wakeAt, const std::function<void()> &work);
    void confirm(TimePoint askedAt, bool isCurrent);
};

void FleetTask::Implementation::receive()
{
    socket.async_receive_from(
        boost::asio::buffer(input), sender, [this](const boost::system::error_code &error, std::size_t size) {
            if (error == boost::asio::error::operation_aborted) {
                return;
            }
            if (!error) {
                take({input.data(), size});
            }
            receive();
        });
}

void FleetTask::Implementation::take(std::string_view bytes)
{
    const Address from{sender.address().to_v4().to_uint(), sender.port()};
    const TimePoint now = BootClock::now();
    const Result<FleetMessage> message = codec.decode(from, bytes);
    Result<void> taken = boost::outcome_v2::success();
    if (message.has_error()) {
        taken = message.error();
    } else if (const GossipMessage *gossip = std::get_if<GossipMessage>(&message.value())) {
        taken = membership.handle(now, *gossip, memberActions);
    } else if (const ConfigMessage *config = std::get_if<ConfigMessage>(&message.value())) {
        taken = distributor.handle(now, *config, distributionActions);
    }
    if (taken.has_error()) {
        hooks.onError(taken.error());
    }
    {
        const std::lock_guard<std::mutex> lock(sharedMutex);
        counters.bytesReceived += bytes.size();
        counters.datagramsRefused += taken.has_error() ? 1 : 0;
    }
    apply();
}

// Applies what the machines want done, until they want no more: each may give the other something to do.
void FleetTask::Implementation::apply()
{
    applyMembership();
    applyDistribution();
    membership.setStatus(distributor.status(BootClock::now()));
}

void FleetTask::Implementation::applyMembership()
{
    MembershipActions actions = std::move(memberActions);
    memberActions.clear();
    if (actions.ownIncarnation) {
        codec.setIncarnation(*actions.ownIncarnation);
    }
    for (const GossipSend &out : actions.sends) {
        send(out.to, out.message);
    }
    for (const PeerContact &contact : actions.contacts) {
        onContact(contact);
    }
    if (!actions.changes.empty()) {
        adoptMembers();
    }
    schedule(membershipWake, actions.wakeAt, [this] { membership.onTimer(BootClock::now(), memberActions); });
}

void FleetTask::Implementation::adoptMembers()
{
    const std::vector<Member> members = membership.members();
    distributor.setMembers(BootClock::now(), members);
    {
        const std::lock_guard<std::mutex> lock(sharedMutex);
        advice.setMembers(membership.self(), members, domainsOut);
    }
    hooks.onMembers(members);
}

void FleetTask::Implementation::onContact(const PeerContact &contact)
{
    distributor.onPeerStatus(BootClock::now(), contact.peer, contact.status, distributionActions);
    if (contact.probedAt) {
        confirm(*contact.probedAt, !distributor.isBehind(contact.status));
    }
}

void FleetTask::Implementation::confirm(TimePoint askedAt, bool isCurrent)
{
    const std::lock_guard<std::mutex> lock(sharedMutex);
    lease.onResponse(BootClock::now(), askedAt, isCurrent);
}

void FleetTask::Implementation::applyDistribution()
{
    DistributionActions actions = std::move(distributionActions);
    distributionActions.clear();
    for (const ConfigSend &out : actions.sends) {
        send(out.to, out.message);
    }
    for (const ServiceRead &read : actions.reads) {
        hooks.read(read);
    }
    for (const AcceptedValue &value : actions.accepted) {
        hooks.onAccepted(value);
    }
    for (const RefusedValue &value : actions.refused) {
        hooks.onRefused(value);
    }
    for (const AcceptedValue &value : actions.accepted) {
        if (value.key == ConfigKey::Vms) {
            membership.setPublished(BootClock::now(), readVmList(*value.text, value.version).value(), memberActions);
        }
    }
    if (actions.provisionalVms) {
        membership.setPublished(BootClock::now(),
                                readVmList(*actions.provisionalVms->text, actions.provisionalVms->version).value(),
                                memberActions);
    }
    schedule(distributionWake, actions.wakeAt, [this] { distributor.onTimer(BootClock::now(), distributionActions); });
    if (!memberActions.sends.empty() || !memberActions.changes.empty()) {
        applyMembership();
    }
}

void FleetTask::Implementation::applyLease(const LeaseActions &actions)
{
    if (actions.refresh) {
        const TimePoint now = BootClock::now();
        membership.probeNow(now, memberActions);
        for (const ConfigKey key : {ConfigKey::Configuration, ConfigKey::ShardMap, ConfigKey::Vms}) {
            distributor.readNow(now, key, distributionActions);
        }
        apply();
    }
    schedule(leaseWake, actions.wakeAt, [this] {
        LeaseActions next;
        {
            const std::lock_guard<std::mutex> lock(sharedMutex);
            lease.onTimer(BootClock::now(), next);
        }
        applyLease(next);
    });
}

// Keeps one timer for each machine: an earlier wish replaces a later one.
void FleetTask::Implementation::schedule(TimePoint &slot,
                                         const std::optional<TimePoint> &wakeAt,
                                         const std::function<void()> &work)
{
    if (!wakeAt || (slot > BootClock::now() && slot <= *wakeAt)) {
        return;
    }
    slot = *wakeAt;
    loop.at(*wakeAt, [this, &slot, due = *wakeAt, work] {
        if (due == slot) {
            work();
            apply();
        }
    });
}

void FleetTask::Implementation::send(DaemonId to, const FleetMessage &message)
{
    std::string bytes;
    const Result<void> encoded = codec.encode(to, message, bytes);
    if (encoded.has_error()) {
        hooks.onError(encoded.error());
        return;
    }
    // A datagram that cannot be sent is one more that the network lost; the exchange allows for it.
    boost::system::error_code ignored;
    socket.send_to(boost::asio::buffer(bytes), endpointOf(peerAddress(to)), 0, ignored);
    const std::lock_guard<std::mutex> lock(sharedMutex);
    counters.bytesSent += bytes.size();
    ++counters.datagramsSent;
}

FleetTask::FleetTask(std::unique_ptr<Implementation> implementation) : implementation_(std::move(implementation))
{
}

FleetTask::~FleetTask()
{
    stop();
}

Duration FleetTask::longestAdvice() noexcept
{
    return adviceLimits().maxLifetime();
}

Result<std::unique_ptr<FleetTask>> FleetTask::create(const FleetIdentity &identity, FleetHooks hooks)
{
    Result<GossipCodec> codec
        = GossipCodec::Builder().self(identity.daemon).incarnation(identity.incarnation).keys(identity.keys).build();
    if (codec.has_error()) {
        return codec.error();
    }
    auto implementation = std::make_unique<Implementation>(identity, std::move(codec.value()), std::move(hooks));
    const Address address = peerAddress(identity.daemon);
    boost::system::error_code error;
    implementation->socket.open(udp::v4(), error);
    if (!error) {
        implementation->socket.bind(endpointOf(address), error);
    }
    if (!error) {
        implementation->socket.non_blocking(true, error);
    }
    if (error) {
        return Error{Errc::Unavailable, Step::Gossip, address.toString(), error.message()};
    }
    return std::unique_ptr<FleetTask>(new FleetTask(std::move(implementation)));
}

void FleetTask::run()
{
    implementation_->loop.post([implementation = implementation_.get()] {
        implementation->receive();
        implementation->membership.onTimer(BootClock::now(), implementation->memberActions);
        implementation->distributor.onTimer(BootClock::now(), implementation->distributionActions);
        implementation->apply();
        LeaseActions actions;
        {
            const std::lock_guard<std::mutex> lock(implementation->sharedMutex);
            implementation->lease.onTimer(BootClock::now(), actions);
        }
        implementation->applyLease(actions);
    });
}

void FleetTask::onServiceValue(PlatformValue value)
{
    implementation_->loop.post([implementation = implementation_.get(), value = std::move(value)]() mutable {
        implementation->serviceAskedAt.at(static_cast<std::size_t>(value.key)) = value.askedAt;
        implementation->distributor.onServiceReply(
            BootClock::now(), value.key, value.version, std::move(value.text), implementation->distributionActions);
        implementation->apply();
        const std::array<TimePoint, configKeyCount> &asked = implementation->serviceAskedAt;
        implementation->confirm(*std::min_element(asked.begin(), asked.end()), true);
    });
}

void FleetTask::onServiceFailed(ConfigKey key)
{
    implementation_->loop.post([implementation = implementation_.get(), key] {
        implementation->distributor.onServiceFailed(BootClock::now(), key, implementation->distributionActions);
        implementation->apply();
    });
}

void FleetTask::setDomainsOut(std::vector<std::string> domainsOut)
{
    implementation_->loop.post([implementation = implementation_.get(), domainsOut = std::move(domainsOut)] {
        implementation->domainsOut = domainsOut;
        implementation->adoptMembers();
    });
}

Advice FleetTask::advise(std::string_view failureDomain)
{
    const std::lock_guard<std::mutex> lock(implementation_->sharedMutex);
    return implementation_->advice.advise(BootClock::now(), failureDomain);
}

LeaseState FleetTask::checkLease()
{
    LeaseActions actions;
    LeaseState state = LeaseState::Refreshing;
    {
        const std::lock_guard<std::mutex> lock(implementation_->sharedMutex);
        state = implementation_->lease.check(BootClock::now(), actions);
    }
    if (actions.refresh || actions.wakeAt) {
        implementation_->loop.post(
            [implementation = implementation_.get(), actions] { implementation->applyLease(actions); });
    }
    return state;
}

double FleetTask::knowledgeAgeSeconds() const
{
    const std::lock_guard<std::mutex> lock(implementation_->sharedMutex);
    const std::optional<TimePoint> confirmedAt = implementation_->lease.confirmedAt();
    return confirmedAt ? toMilliseconds(BootClock::now() - *confirmedAt) / 1000 : -1;
}

FleetCounters FleetTask::counters() const
{
    const std::lock_guard<std::mutex> lock(implementation_->sharedMutex);
    return implementation_->counters;
}

void FleetTask::leave()
{
    implementation_->loop.post([implementation = implementation_.get()] {
        implementation->membership.leave(BootClock::now(), implementation->memberActions);
        implementation->apply();
        implementation->adoptMembers();
    });
}

void FleetTask::stop()
{
    if (implementation_ == nullptr) {
        return;
    }
    std::promise<void> departed;
    implementation_->loop.post([implementation = implementation_.get(), &departed] {
        implementation->membership.depart(BootClock::now(), implementation->memberActions);
        implementation->apply();
        departed.set_value();
    });
    departed.get_future().wait();
    implementation_->loop.stop();
    implementation_.reset();
}

} // namespace sassafrasvane
