#include "fakefleet.h"

#include <algorithm>

namespace sassafrasvane
{

namespace
{

using namespace std::chrono_literals;

constexpr Duration serviceLatency = 2ms;
constexpr Duration serviceTimeout = 1s;

std::int64_t secondOf(TimePoint time)
{
    return std::chrono::duration_cast<std::chrono::seconds>(time.time_since_epoch()).count();
}

void count(FakeTraffic &traffic, TimePoint now, std::size_t bytes)
{
    if (secondOf(now) != traffic.second) {
        traffic.second = secondOf(now);
        traffic.secondBytes = 0;
        traffic.secondMessages = 0;
    }
    ++traffic.messages;
    traffic.bytes += bytes;
    traffic.secondBytes += bytes;
    ++traffic.secondMessages;
    traffic.peakBytes = std::max(traffic.peakBytes, traffic.secondBytes);
    traffic.peakMessages = std::max(traffic.peakMessages, traffic.secondMessages);
}

} // namespace

FakeFleet::FakeFleet(std::size_t count, std::uint64_t seed, std::size_t domains) : random_(seed), daemons_(count)
{
    for (std::size_t number = 0; number < count; ++number) {
        MemberRecord &record = daemons_[number].record;
        const Address peer{0x0a000001 + static_cast<std::uint32_t>(number), 7000};
        record.daemon = daemonId(peer);
        record.callerAddress = {peer.ip, 8000};
        record.region = number % 2 == 0 ? "nairobi" : "attica";
        record.failureDomain = record.region + "-" + std::to_string(number / 2 % domains);
        numbers_[record.daemon] = number;
    }
}

void FakeFleet::start(std::size_t number, Duration clockError)
{
    FakeDaemon &daemon = daemons_[number];
    daemon.record.incarnation = Incarnation{static_cast<std::uint64_t>((now_ + clockError).time_since_epoch().count())};
    const std::uint64_t seed = random_.next();
    daemon.membership = std::make_unique<Membership>(
        Membership::Builder().self(daemon.record).seed(seed).limits(limits_).build(now_));
    const std::vector<std::string> keys{"fleet key"};
    daemon.codec = std::make_unique<GossipCodec>(GossipCodec::Builder()
                                                     .self(daemon.record.daemon)
                                                     .incarnation(daemon.record.incarnation)
                                                     .keys(keys)
                                                     .build()
                                                     .value());
    const ValueValidator validator = [](ConfigKey, ConfigVersion, std::string_view text) -> Result<void> {
        if (!isValid(text)) {
            return Error{Errc::InvalidConfiguration, Step::Configuration, {}, "invalid"};
        }
        return boost::outcome_v2::success();
    };
    daemon.distributor = std::make_unique<ConfigDistributor>(
        ConfigDistributor::Builder().self(daemon.record).validator(validator).seed(mix(seed)).build(now_));
    daemon.isRunning = true;
    daemon.isPaused = false;
    daemon.startedAt = now_;
    ++daemon.incarnationNumber;
    daemon.timerAt = TimePoint::max();
    daemon.inForceSince.clear();
    schedule(number, now_);
}

void FakeFleet::startAll()
{
    for (std::size_t number = 0; number < daemons_.size(); ++number) {
        start(number);
    }
}

void FakeFleet::kill(std::size_t number)
{
    daemons_[number].isRunning = false;
    ++daemons_[number].incarnationNumber;
}

void FakeFleet::setPaused(std::size_t number, bool isPaused)
{
    daemons_[number].isPaused = isPaused;
}

ConfigVersion FakeFleet::publish(ConfigKey key, std::string text)
{
    std::vector<std::string> &texts = texts_[static_cast<std::size_t>(key)];
    texts.push_back(std::move(text));
    for (const auto &[id, watch] : watches_) {
        if (watch.key == key && servedVersion(key) > watch.after) {
            push({now_ + serviceLatency, 0, Kind::WatchEnd, watch.daemon, watch.incarnationNumber, 0, {}, key, id});
        }
    }
    return ConfigVersion{texts.size()};
}

void FakeFleet::publishVms()
{
    publish(ConfigKey::Vms, "vms");
}

VmList FakeFleet::allVms(ConfigVersion version) const
{
    VmList list;
    list.version = version;
    for (const FakeDaemon &daemon : daemons_) {
        const MemberRecord &record = daemon.record;
        list.vms.push_back(
            {peerAddress(record.daemon), record.callerAddress, record.failureDomain, record.region, ServerState::Live});
    }
    return list;
}

ConfigVersion FakeFleet::servedVersion(ConfigKey key) const
{
    const std::uint64_t newest = texts_[static_cast<std::size_t>(key)].size();
    return ConfigVersion{newest > versionsBack_ ? newest - versionsBack_ : std::min<std::uint64_t>(newest, 1)};
}

void FakeFleet::push(Event event)
{
    event.number = ++lastEvent_;
    events_.push(std::move(event));
}

void FakeFleet::run(Duration duration)
{
    const TimePoint end = now_ + duration;
    while (!events_.empty() && events_.top().at <= end) {
        Event event = events_.top();
        events_.pop();
        now_ = std::max(now_, event.at);
        handle(event);
    }
    now_ = end;
}

void FakeFleet::handle(Event &event)
{
    FakeDaemon &daemon = daemons_[event.to];
    if (!daemon.isRunning || (event.kind != Kind::Datagram && daemon.incarnationNumber != event.incarnationNumber)) {
        watches_.erase(event.watch);
        return;
    }
    if (daemon.isPaused) {
        // Events wait as in a socket buffer. A real buffer would overflow, which has the same effect as packet loss.
        event.at = now_ + 20ms;
        push(std::move(event));
        return;
    }
    switch (event.kind) {
    case Kind::Datagram:
        deliver(event);
        break;
    case Kind::Timer:
        onTimer(event.to);
        break;
    case Kind::Reply:
        reply(event);
        break;
    case Kind::WatchEnd:
        if (watches_.erase(event.watch) > 0) {
            reply(event);
        }
        break;
    }
}

void FakeFleet::deliver(Event &event)
{
    FakeDaemon &daemon = daemons_[event.to];
    const Result<FleetMessage> decoded
        = daemon.codec->decode(peerAddress(daemons_[event.from].record.daemon), event.bytes);
    if (!decoded.has_value()) {
        ++counters_.refusedDatagrams;
        return;
    }
    if (const GossipMessage *gossip = std::get_if<GossipMessage>(&decoded.value())) {
        act(event.to, [this, gossip](Membership &membership, MembershipActions &actions) {
            counters_.refusedDatagrams += membership.handle(now_, *gossip, actions).has_value() ? 0 : 1;
        });
        return;
    }
    DistributionActions actions;
    const Result<void> result = daemon.distributor->handle(now_, std::get<ConfigMessage>(decoded.value()), actions);
    counters_.refusedDatagrams += result.has_value() ? 0 : 1;
    execute(event.to, actions);
}

void FakeFleet::onTimer(std::size_t number)
{
    FakeDaemon &daemon = daemons_[number];
    if (daemon.timerAt > now_) {
        return;
    }
    daemon.timerAt = TimePoint::max();
    DistributionActions distribution;
    daemon.distributor->onTimer(now_, distribution);
    execute(number, distribution);
    act(number, [this](Membership &membership, MembershipActions &actions) { membership.onTimer(now_, actions); });
}

void FakeFleet::act(std::size_t number, const std::function<void(Membership &, MembershipActions &)> &function)
{
    FakeDaemon &daemon = daemons_[number];
    MembershipActions actions;
    daemon.membership->setStatus(daemon.distributor->status(now_));
    function(*daemon.membership, actions);
    execute(number, actions);
}

void FakeFleet::execute(std::size_t number, MembershipActions &actions)
{
    FakeDaemon &daemon = daemons_[number];
    if (actions.ownIncarnation) {
        daemon.codec->setIncarnation(*actions.ownIncarnation);
    }
    for (const GossipSend &send : actions.sends) {
        this->send(number, send.to, send.message);
    }
    for (const MemberChange &change : actions.changes) {
        countDeath(number, change);
    }
    if (!actions.changes.empty()) {
        daemon.distributor->setMembers(now_, daemon.membership->members());
    }
    DistributionActions distribution;
    for (const PeerContact &contact : actions.contacts) {
        daemon.distributor->onPeerStatus(now_, contact.peer, contact.status, distribution);
    }
    schedule(number, actions.wakeAt);
    execute(number, distribution);
}

void FakeFleet::countDeath(std::size_t number, const MemberChange &change)
{
    if (change.state != MemberState::Dead) {
        return;
    }
    const std::size_t other = numbers_.at(change.member);
    const FakeDaemon &member = daemons_[other];
    ++counters_.deaths;
    counters_.falseDeaths += member.isRunning && !member.isPaused && canTalk(number, other) ? 1 : 0;
}

void FakeFleet::execute(std::size_t number, DistributionActions &actions)
{
    FakeDaemon &daemon = daemons_[number];
    for (const ConfigSend &send : actions.sends) {
        this->send(number, send.to, send.message);
    }
    for (const ServiceRead &read : actions.reads) {
        this->read(number, read);
    }
    for (const AcceptedValue &value : actions.accepted) {
        for (const auto &[known, since] : daemon.inForceSince) {
            counters_.reverts += known.first == value.key && known.second >= value.version ? 1 : 0;
        }
        daemon.inForceSince[{value.key, value.version}] = now_;
    }
    const bool hasVms = actions.provisionalVms
        || std::any_of(actions.accepted.begin(), actions.accepted.end(), [](const AcceptedValue &value) {
                            return value.key == ConfigKey::Vms;
                        });
    schedule(number, actions.wakeAt);
    if (hasVms) {
        act(number, [this](Membership &membership, MembershipActions &own) {
            membership.setPublished(now_, allVms(servedVersion(ConfigKey::Vms)), own);
        });
    }
}

void FakeFleet::schedule(std::size_t number, std::optional<TimePoint> wakeAt)
{
    FakeDaemon &daemon = daemons_[number];
    if (!wakeAt || *wakeAt >= daemon.timerAt) {
        return;
    }
    daemon.timerAt = std::max(*wakeAt, now_);
    push({daemon.timerAt, 0, Kind::Timer, number, daemon.incarnationNumber, 0, {}, ConfigKey::Configuration, 0});
}

bool FakeFleet::canTalk(std::size_t from, std::size_t to) const
{
    return !network_.isCut || (!network_.isCut(from, to) && !network_.isCut(to, from));
}

void FakeFleet::send(std::size_t from, DaemonId to, const FleetMessage &message)
{
    std::string bytes;
    if (!daemons_[from].codec->encode(to, message, bytes).has_value() || !numbers_.contains(to)) {
        ++counters_.refusedDatagrams;
        return;
    }
    count(daemons_[from].traffic, now_, bytes.size());
    const std::size_t target = numbers_.at(to);
    if ((network_.isCut && network_.isCut(from, target)) || random_.chance(network_.loss)) {
        return;
    }
    const bool isFar = daemons_[from].record.region != daemons_[target].record.region;
    const Duration latency = isFar ? network_.regionLatency : network_.latency;
    const Duration jitter(random_.below(static_cast<std::uint64_t>(latency.count()) / 2 + 1));
    push({now_ + latency + jitter, 0, Kind::Datagram, target, 0, from, std::move(bytes), ConfigKey::Configuration, 0});
}

void FakeFleet::read(std::size_t number, const ServiceRead &read)
{
    ++counters_.serviceCalls;
    if (secondOf(now_) != callSecond_) {
        callSecond_ = secondOf(now_);
        callsThisSecond_ = 0;
    }
    counters_.peakServiceCalls = std::max(counters_.peakServiceCalls, ++callsThisSecond_);
    const std::uint64_t incarnationNumber = daemons_[number].incarnationNumber;
    if (isServiceDown_ || (network_.isServiceCut && network_.isServiceCut(number))) {
        push({now_ + serviceTimeout, 0, Kind::Reply, number, incarnationNumber, 0, {}, read.key, 0});
        return;
    }
    if (read.wait.count() == 0 || servedVersion(read.key) > read.after) {
        push({now_ + serviceLatency, 0, Kind::Reply, number, incarnationNumber, 0, {}, read.key, 0});
        return;
    }
    const std::uint64_t id = ++lastEvent_;
    watches_[id] = {read.key, read.after, number, incarnationNumber};
    push({now_ + read.wait, 0, Kind::WatchEnd, number, incarnationNumber, 0, {}, read.key, id});
}

void FakeFleet::reply(const Event &event)
{
    DistributionActions actions;
    ConfigDistributor &distributor = *daemons_[event.to].distributor;
    const ConfigVersion version = servedVersion(event.key);
    const bool isCut = network_.isServiceCut && network_.isServiceCut(event.to);
    if (isServiceDown_ || isCut || version.value == 0) {
        distributor.onServiceFailed(now_, event.key, actions);
    } else {
        const std::string &text = texts_[static_cast<std::size_t>(event.key)][version.value - 1];
        distributor.onServiceReply(now_, event.key, version, text, actions);
    }
    execute(event.to, actions);
}

void FakeFleet::resetCounters()
{
    counters_ = {};
    callSecond_ = -1;
    for (FakeDaemon &daemon : daemons_) {
        daemon.traffic = {};
    }
}

bool FakeFleet::hasConverged() const
{
    for (const FakeDaemon &daemon : daemons_) {
        if (!daemon.isRunning) {
            continue;
        }
        std::size_t alive = 0;
        for (const Member &member : daemon.membership->members()) {
            const bool isAlive = member.record.state == MemberState::Alive;
            const FakeDaemon &other = daemons_[numbers_.at(member.record.daemon)];
            alive += isAlive ? 1 : 0;
            if (isAlive != other.isRunning || member.record.state == MemberState::Suspect) {
                return false;
            }
        }
        const auto running
            = std::count_if(daemons_.begin(), daemons_.end(), [](const FakeDaemon &other) { return other.isRunning; });
        if (alive + 1 != static_cast<std::size_t>(running)) {
            return false;
        }
    }
    return true;
}

bool FakeFleet::isInForce(ConfigKey key) const
{
    const ConfigVersion newest{texts_[static_cast<std::size_t>(key)].size()};
    return std::all_of(daemons_.begin(), daemons_.end(), [key, newest](const FakeDaemon &daemon) {
        return !daemon.isRunning || daemon.distributor->version(key) == newest;
    });
}

} // namespace sassafrasvane
