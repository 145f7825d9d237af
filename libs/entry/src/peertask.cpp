#include "entry/peertask.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>

#include <algorithm>

namespace sassafrasvane
{

namespace
{

using boost::asio::ip::udp;

/// Interval of the probes. It is short because callers must not be sent to a lost VM for more than one or two seconds.
constexpr Duration probePeriod = std::chrono::milliseconds(400);
constexpr Duration directTimeout = std::chrono::milliseconds(150);
constexpr Duration syncPeriod = std::chrono::seconds(5);
constexpr double messagesPerSecond = 40;
constexpr double messageBurst = 12;
/// Salts that make the choices of readers and relays independent of the choice of the advertised entry VMs.
constexpr std::uint64_t readerSalt = 2;
constexpr std::uint64_t relaySalt = 3;
/// Minimum number of members in a failure domain for which one of them relays store changes to the others.
constexpr std::size_t minDomainSizeForRelay = 8;

MemberRecord recordOf(const EntryIdentity &identity, Incarnation incarnation)
{
    MemberRecord record;
    record.daemon = daemonId(identity.peer);
    record.incarnation = incarnation;
    record.callerAddress = identity.callerAddress;
    record.failureDomain = identity.failureDomain;
    record.region = identity.region;
    record.capacity = identity.capacity;
    return record;
}

const char *stateName(const MemberChange &change)
{
    const bool isLeaving = change.state == MemberState::Alive && change.phase == MemberPhase::Leaving;
    return isLeaving ? "leaving" : name(change.state);
}

} // namespace

MembershipLimits PeerTask::membershipLimits() noexcept
{
    MembershipLimits limits;
    limits.probePeriod = probePeriod;
    limits.directTimeout = directTimeout;
    limits.maxSyncInterval = syncPeriod;
    limits.messagesPerSecond = messagesPerSecond;
    limits.messageBurst = messageBurst;
    return limits;
}

Result<std::unique_ptr<PeerTask>> PeerTask::create(boost::asio::io_context &context,
                                                   const EntryIdentity &identity,
                                                   EventLog &log)
{
    const Incarnation incarnation{wallClockMicros()};
    const std::array<std::string, 1> keys{identity.key};
    Result<GossipCodec> codec
        = GossipCodec::Builder().self(daemonId(identity.peer)).incarnation(incarnation).keys(keys).build();
    if (codec.has_error()) {
        return codec.error();
    }
    std::unique_ptr<PeerTask> task(new PeerTask(context, identity, incarnation, std::move(codec.value()), log));
    const udp::endpoint endpoint(boost::asio::ip::address_v4(identity.peer.ip), identity.peer.port);
    boost::system::error_code error;
    task->socket_.open(udp::v4(), error);
    if (!error) {
        task->socket_.bind(endpoint, error);
    }
    if (error) {
        return Error{Errc::Unavailable, Step::Gossip, identity.peer.toString(), error.message()};
    }
    return task;
}

PeerTask::PeerTask(boost::asio::io_context &context,
                   const EntryIdentity &identity,
                   Incarnation incarnation,
                   GossipCodec codec,
                   EventLog &log)
    : log_(log)
    , codec_(std::move(codec))
    , membership_(Membership::Builder()
                      .self(recordOf(identity, incarnation))
                      .seed(mix(daemonId(identity.peer).value, incarnation.value))
                      .limits(membershipLimits())
                      .build(BootClock::now()))
    , socket_(context)
    , timer_(context)
{
}

PeerTask::~PeerTask()
{
    boost::system::error_code ignored;
    socket_.close(ignored);
}

void PeerTask::setSeeds(std::span<const Address> peers)
{
    VmList list;
    for (const Address &peer : peers) {
        if (daemonId(peer) == membership_.self().daemon) {
            continue;
        }
        Vm vm;
        vm.peer = peer;
        list.vms.push_back(vm);
    }
    membership_.setPublished(BootClock::now(), list, actions_);
    performActions();
}

void PeerTask::start()
{
    receive();
    membership_.onTimer(BootClock::now(), actions_);
    performActions();
}

void PeerTask::leave()
{
    isLeaving_ = true;
    membership_.leave(BootClock::now(), actions_);
    performActions();
}

void PeerTask::stop()
{
    membership_.depart(BootClock::now(), actions_);
    performActions();
    timer_.cancel();
    boost::system::error_code ignored;
    socket_.close(ignored);
}

void PeerTask::receive()
{
    socket_.async_receive_from(
        boost::asio::buffer(receiveBuffer_), sender_, [this](const boost::system::error_code &error, std::size_t size) {
            if (error == boost::asio::error::operation_aborted || !socket_.is_open()) {
                return;
            }
            if (!error) {
                onDatagram({receiveBuffer_.data(), size});
            }
            receive();
        });
}

// An exception while handling a datagram must not stop the receive loop.
void PeerTask::onDatagram(std::string_view bytes)
{
    try {
        handleDatagram(bytes);
    } catch (const std::exception &exception) {
        log_.unexpectedError(exception);
    }
}

void PeerTask::handleDatagram(std::string_view bytes)
{
    const Address from{sender_.address().to_v4().to_uint(), sender_.port()};
    const Result<FleetMessage> message = codec_.decode(from, bytes);
    if (message.has_error()) {
        log_.line(EventRank::Routine, "peer_message_refused").error(message.error());
        return;
    }
    const CrashMessage *crashes = std::get_if<CrashMessage>(&message.value());
    if (crashes != nullptr && onCrashEvidence_) {
        onCrashEvidence_(crashes->entries);
    }
    const QuotaMessage *quota = std::get_if<QuotaMessage>(&message.value());
    if (quota != nullptr && onQuotaReport_) {
        onQuotaReport_(daemonId(from), quota->report);
    }
    const GossipMessage *gossip = std::get_if<GossipMessage>(&message.value());
    if (gossip == nullptr) {
        return;
    }
    const Result<void> taken = membership_.handle(BootClock::now(), *gossip, actions_);
    if (taken.has_error()) {
        log_.line(EventRank::Routine, "peer_message_refused").error(taken.error());
    }
    performActions();
}

void PeerTask::performActions()
{
    MembershipActions actions = std::move(actions_);
    actions_.clear();
    if (actions.ownIncarnation) {
        codec_.setIncarnation(*actions.ownIncarnation);
    }
    for (const GossipSend &out : actions.sends) {
        send(out.to, out.message);
    }
    if (!actions.changes.empty()) {
        refreshMembers();
        logChanges(actions.changes);
        sendKnownCrashes(actions.changes);
        if (onMembers_) {
            onMembers_();
        }
    }
    scheduleTimer(actions.wakeAt);
}

void PeerTask::send(DaemonId to, const FleetMessage &message)
{
    const Result<void> encoded = codec_.encode(to, message, sendBuffer_);
    if (encoded.has_error()) {
        log_.line(EventRank::Important, "peer_send_failed").error(encoded.error());
        return;
    }
    const Address address = peerAddress(to);
    boost::system::error_code error;
    socket_.send_to(
        boost::asio::buffer(sendBuffer_), {boost::asio::ip::address_v4(address.ip), address.port}, 0, error);
    if (error) {
        log_.line(EventRank::Routine, "peer_send_failed")
            .text("peer", address.toString())
            .text("detail", error.message());
    }
}

void PeerTask::setCrashHooks(std::function<void(std::span<const CrashEntry> entries)> take,
                             std::function<std::vector<CrashEntry>()> known)
{
    onCrashEvidence_ = std::move(take);
    knownCrashes_ = std::move(known);
}

void PeerTask::broadcastCrashes(std::span<const CrashEntry> entries)
{
    const TimePoint now = BootClock::now();
    crashBroadcaster_.add(now, entries);
    resendCrashes(now);
}

void PeerTask::setQuotaHooks(std::function<void(DaemonId peer, const QuotaReport &report)> take,
                             std::function<std::vector<QuotaReport>()> due,
                             std::function<std::vector<DaemonId>()> recipients)
{
    onQuotaReport_ = std::move(take);
    dueQuotaReports_ = std::move(due);
    quotaRecipients_ = std::move(recipients);
}

void PeerTask::onTick(TimePoint now)
{
    resendCrashes(now);
    sendQuotaReports();
}

void PeerTask::sendQuotaReports()
{
    const std::vector<QuotaReport> reports = dueQuotaReports_ ? dueQuotaReports_() : std::vector<QuotaReport>();
    if (reports.empty()) {
        return;
    }
    const std::vector<DaemonId> recipients = quotaRecipients_();
    for (const QuotaReport &report : reports) {
        const QuotaMessage message{report};
        for (const DaemonId recipient : recipients) {
            send(recipient, message);
        }
    }
}

void PeerTask::resendCrashes(TimePoint now)
{
    const std::vector<CrashEntry> entries = crashBroadcaster_.due(now);
    if (entries.empty()) {
        return;
    }
    for (const Member &member : members_) {
        if (member.record.state == MemberState::Alive) {
            sendCrashes(member.record.daemon, entries);
        }
    }
}

void PeerTask::sendCrashes(DaemonId to, std::span<const CrashEntry> entries)
{
    while (!entries.empty()) {
        const std::size_t count = std::min(entries.size(), maxCrashEntriesPerMessage);
        CrashMessage message;
        message.entries.assign(entries.begin(), entries.begin() + static_cast<std::ptrdiff_t>(count));
        send(to, message);
        entries = entries.subspan(count);
    }
}

// A member that has just appeared may have missed evidence that was sent to the others.
void PeerTask::sendKnownCrashes(const std::vector<MemberChange> &changes)
{
    const std::vector<CrashEntry> known = knownCrashes_ ? knownCrashes_() : std::vector<CrashEntry>();
    for (const MemberChange &change : changes) {
        if (change.state == MemberState::Alive) {
            sendCrashes(change.member, known);
        }
    }
}

void PeerTask::scheduleTimer(std::optional<TimePoint> at)
{
    if (!at) {
        return;
    }
    timer_.expires_after(std::max(Duration{0}, *at - BootClock::now()));
    timer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            membership_.onTimer(BootClock::now(), actions_);
            performActions();
        }
    });
}

void PeerTask::logChanges(const std::vector<MemberChange> &changes)
{
    for (const MemberChange &change : changes) {
        log_.line(EventRank::Important, "member_changed")
            .text("peer", peerAddress(change.member).toString())
            .text("state", stateName(change))
            .count("incarnation", change.incarnation.value)
            .count("reachable", membership_.reachableCount());
    }
}

std::vector<SubsetCandidate> PeerTask::candidates() const
{
    std::vector<SubsetCandidate> candidates;
    if (!isLeaving_) {
        candidates.push_back(
            {membership_.self().daemon, membership_.self().failureDomain, membership_.self().capacity});
    }
    for (const Member &member : members_) {
        if (member.takesWork() && member.record.callerAddress != Address{}) {
            candidates.push_back({member.record.daemon, member.record.failureDomain, member.record.capacity});
        }
    }
    return candidates;
}

std::vector<Address> PeerTask::callerAddresses(TimePoint now) const
{
    const std::vector<SubsetCandidate> alive = candidates();
    const std::vector<DaemonId> advertised = advertisedVms(alive, queryDomains_);
    std::vector<Address> addresses;
    std::vector<Address> lost;
    if (alive.empty()
        || std::find(advertised.begin(), advertised.end(), membership_.self().daemon) != advertised.end()) {
        addresses.push_back(membership_.self().callerAddress);
    }
    for (const Member &member : members_) {
        const bool isLost = !member.takesWork() && member.record.state != MemberState::Left
            && member.record.phase == MemberPhase::Serving && now - member.stateSince < massLossRetention();
        if (std::find(advertised.begin(), advertised.end(), member.record.daemon) != advertised.end()) {
            addresses.push_back(member.record.callerAddress);
        } else if (isLost && member.record.callerAddress != Address{}) {
            lost.push_back(member.record.callerAddress);
        }
    }
    if (lost.size() > alive.size()) {
        addresses.insert(addresses.end(), lost.begin(), lost.end());
    }
    return addresses;
}

void PeerTask::refreshMembers()
{
    members_ = membership_.members();
}

AdvertisedMembers PeerTask::advertisedMembers(TimePoint now)
{
    const DaemonId self = membership_.self().daemon;
    const std::vector<DaemonId> chosen = advertisedVms(candidates(), queryDomains_);
    for (const DaemonId daemon : chosen) {
        AdvertisedTime &time = advertised_.try_emplace(daemon, AdvertisedTime{now, now}).first->second;
        time.lastAt = now;
    }
    std::erase_if(advertised_, [now](const auto &entry) {
        const AdvertisedTime &time = entry.second;
        const bool isBrief = time.lastAt - time.firstAt < minAdvertisedTime();
        return now - time.lastAt >= (isBrief ? Duration{1} : quotaShareRetention());
    });
    AdvertisedMembers advertised;
    advertised.fleet.advertisedCount = std::max<std::size_t>(1, chosen.size());
    advertised.fleet.memberCount = membership_.reachableCount();
    advertised.hasSelf = std::find(chosen.begin(), chosen.end(), self) != chosen.end();
    for (const auto &[daemon, time] : advertised_) {
        advertised.fleet.sharers.insert(peerAddress(daemon).toString());
    }
    return advertised;
}

bool PeerTask::hasLeft(DaemonId daemon) const
{
    return std::any_of(members_.begin(), members_.end(), [daemon](const Member &member) {
        return member.record.daemon == daemon && member.record.state == MemberState::Left;
    });
}

std::vector<SubsetCandidate> PeerTask::readers(std::size_t count) const
{
    const std::vector<SubsetCandidate> all = candidates();
    const std::vector<DaemonId> chosen = spreadSubset(all, readerSalt, count);
    std::vector<SubsetCandidate> readers;
    std::copy_if(all.begin(), all.end(), std::back_inserter(readers), [&chosen](const SubsetCandidate &candidate) {
        return std::find(chosen.begin(), chosen.end(), candidate.daemon) != chosen.end();
    });
    return readers;
}

std::optional<DaemonId> PeerTask::relay() const
{
    std::vector<SubsetCandidate> near = candidates();
    std::erase_if(near, [this](const SubsetCandidate &candidate) {
        return candidate.failureDomain != membership_.self().failureDomain;
    });
    if (near.size() < minDomainSizeForRelay) {
        return std::nullopt;
    }
    return spreadSubset(near, relaySalt, 1).front();
}

} // namespace sassafrasvane
