#include "fleet/configdistributor.h"

#include "configdistributorstate.h"

#include <algorithm>

namespace sassafrasvane
{

namespace
{

constexpr std::array<ConfigKey, configKeyCount> allKeys{ConfigKey::Configuration, ConfigKey::ShardMap, ConfigKey::Vms};

} // namespace

void DistributionActions::clear() noexcept
{
    sends.clear();
    reads.clear();
    accepted.clear();
    refused.clear();
    provisionalVms.reset();
    wakeAt.reset();
}

ConfigDistributor::ConfigDistributor() = default;
ConfigDistributor::ConfigDistributor(ConfigDistributor &&) noexcept = default;
ConfigDistributor &ConfigDistributor::operator=(ConfigDistributor &&) noexcept = default;
ConfigDistributor::~ConfigDistributor() = default;

detail::PublishedValue &ConfigDistributor::value(ConfigKey key) noexcept
{
    return state_->key(key).value;
}

const detail::PublishedValue &ConfigDistributor::value(ConfigKey key) const noexcept
{
    return state_->key(key).value;
}

void ConfigDistributor::onPeerStatus(TimePoint now,
                                     DaemonId peer,
                                     const ConfigStatus &status,
                                     DistributionActions &actions)
{
    for (const ConfigKey key : allKeys) {
        const std::size_t index = static_cast<std::size_t>(key);
        const ConfigVersion version = status.versions[index];
        const std::uint32_t age = status.serviceAgeMs[index];
        if (version.value == 0) {
            continue;
        }
        State::KeyState &state = state_->key(key);
        if (!state.hasJoined
            && std::find(state.peersHeard.begin(), state.peersHeard.end(), peer) == state.peersHeard.end()) {
            state.peersHeard.push_back(peer);
        }
        if (version == state.value.version() && age != UINT32_MAX) {
            state_->readScheduler.onPeerConfirmed(key, now - std::chrono::milliseconds(age));
        }
        onAnnounced(now, key, version, peer, actions);
        tryFinishJoin(now, key, actions);
    }
    updateWakeAt(now, actions);
}

void ConfigDistributor::validateAndAccept(TimePoint now,
                                          ConfigKey key,
                                          ConfigVersion version,
                                          std::string text,
                                          DistributionActions &actions)
{
    State::KeyState &state = state_->key(key);
    if (version <= state.value.version() || state.value.isRefused(version)) {
        return;
    }
    Result<void> verdict = boost::outcome_v2::success();
    if (text.size() > maxValueBytes) {
        verdict = Error{Errc::TooLarge, Step::Configuration, {}, "the value is larger than the maximum of 1 MiB"};
    } else if (validator_) {
        verdict = validator_(key, version, text);
    }
    if (verdict.has_value()) {
        state.value.accept(version, std::move(text));
        state.hasJoined = true;
        state.provisional.reset();
        actions.accepted.push_back({key, version, state.value.text()});
        announce(key, actions);
        if (key == ConfigKey::Vms) {
            state_->readScheduler.setEpoch(now, version);
        }
    } else {
        state.value.refuse(version);
        actions.refused.push_back({key, version, verdict.error()});
    }
    if (state.transfer.targetVersion() <= version) {
        state.transfer.reset();
    } else if (state.transfer.isActive()) {
        request(now, key, actions);
    }
}

void ConfigDistributor::onServiceReply(TimePoint now,
                                       ConfigKey key,
                                       ConfigVersion version,
                                       std::string text,
                                       DistributionActions &actions)
{
    State::KeyState &state = state_->key(key);
    state.hasServiceAnswered = true;
    const ConfigVersion known = state.value.highestSeen();
    if (version < state.value.version()) {
        ++counters_.staleReplies;
        state_->readScheduler.onStaleReply(now, key);
    } else {
        state_->readScheduler.onCurrentReply(now, key);
    }
    const bool isConflict = version == state.value.version() && !text.empty() && state.value.text()
        && textDigest(text) != state.value.digest();
    counters_.conflicts += isConflict ? 1 : 0;
    if (!state.hasJoined && version.value > 0 && version > known) {
        state.provisional = {version, std::move(text)};
        if (key == ConfigKey::Vms) {
            actions.provisionalVms = {key, version, std::make_shared<const std::string>(state.provisional->second)};
        }
    } else {
        validateAndAccept(now, key, version, std::move(text), actions);
    }
    tryFinishJoin(now, key, actions);
    startReads(now, actions);
    updateWakeAt(now, actions);
}

void ConfigDistributor::onServiceFailed(TimePoint now, ConfigKey key, DistributionActions &actions)
{
    ++counters_.serviceFailures;
    state_->key(key).hasServiceAnswered = true;
    state_->readScheduler.onFailed(now, key);
    tryFinishJoin(now, key, actions);
    updateWakeAt(now, actions);
}

void ConfigDistributor::tryFinishJoin(TimePoint now, ConfigKey key, DistributionActions &actions)
{
    State::KeyState &state = state_->key(key);
    if (state.hasJoined) {
        return;
    }
    const std::size_t enough = std::min(limits_.minJoinPeers, std::max<std::size_t>(peers_.size(), 1));
    const bool hasHeardEnough = state.hasServiceAnswered && state.peersHeard.size() >= enough;
    if (!hasHeardEnough && now < startedAt_ + limits_.joinDelay) {
        return;
    }
    const ConfigVersion serviceVersion = state.provisional ? state.provisional->first : ConfigVersion{0};
    if (state.transfer.isActive() && state.transfer.targetVersion() > serviceVersion
        && now < startedAt_ + limits_.joinTimeout) {
        if (!state.isFetchingForJoin) {
            state.isFetchingForJoin = true;
            request(now, key, actions);
        }
        return;
    }
    state.hasJoined = true;
    state.peersHeard.clear();
    if (state.provisional) {
        std::pair<ConfigVersion, std::string> service = std::move(*state.provisional);
        state.provisional.reset();
        validateAndAccept(now, key, service.first, std::move(service.second), actions);
    }
}

void ConfigDistributor::onTimer(TimePoint now, DistributionActions &actions)
{
    state_->hasJoinTimedOut = now >= startedAt_ + limits_.joinTimeout;
    for (const ConfigKey key : allKeys) {
        retryRequest(now, key, actions);
        tryFinishJoin(now, key, actions);
    }
    startReads(now, actions);
    updateWakeAt(now, actions);
}

void ConfigDistributor::retryRequest(TimePoint now, ConfigKey key, DistributionActions &actions)
{
    State::KeyState &state = state_->key(key);
    const bool mayAsk = state.hasJoined || state.isFetchingForJoin;
    if (!mayAsk || !state.transfer.isActive() || now < state.transfer.retryAt()) {
        return;
    }
    if (!state.transfer.recordStall()) {
        state.transfer.dropSource();
    }
    if (state.transfer.isActive()) {
        request(now, key, actions);
    }
}

void ConfigDistributor::startReads(TimePoint now, DistributionActions &actions)
{
    for (const ConfigKey key : allKeys) {
        const State::KeyState &state = state_->key(key);
        std::optional<ServiceRead> read
            = state_->readScheduler.takeDueRead(now, key, state.value.highestSeen(), state.hasJoined);
        if (read) {
            ++counters_.serviceCalls;
            actions.reads.push_back(*read);
        }
    }
}

void ConfigDistributor::readNow(TimePoint now, ConfigKey key, DistributionActions &actions)
{
    state_->readScheduler.expedite(now, key);
    startReads(now, actions);
    updateWakeAt(now, actions);
}

void ConfigDistributor::setMembers(TimePoint now, std::span<const Member> members)
{
    peers_.clear();
    for (const Member &member : members) {
        if (member.record.state == MemberState::Alive) {
            peers_.push_back(member.record.daemon);
        }
    }
    state_->readScheduler.setMembers(now, members);
}

void ConfigDistributor::updateWakeAt(TimePoint now, DistributionActions &actions) const
{
    TimePoint next = std::max(now, state_->readScheduler.nextAt());
    for (const State::KeyState &state : state_->keys) {
        if (!state.hasJoined) {
            const TimePoint waitEnd = startedAt_ + limits_.joinDelay;
            next = std::min(next, now < waitEnd ? waitEnd : now + limits_.retryAfter);
        }
        if ((state.hasJoined || state.isFetchingForJoin) && state.transfer.isActive()) {
            next = std::min(next, std::max(now, state.transfer.retryAt()));
        }
    }
    actions.wakeAt = next;
}

ConfigStatus ConfigDistributor::status(TimePoint now) const noexcept
{
    ConfigStatus status;
    for (const ConfigKey key : allKeys) {
        const std::size_t index = static_cast<std::size_t>(key);
        status.versions[index] = value(key).version();
        const std::optional<TimePoint> confirmedAt = state_->readScheduler.confirmedAt(key);
        if (confirmedAt) {
            const Duration::rep age = std::max<Duration::rep>(0, (now - *confirmedAt).count() / 1000);
            status.serviceAgeMs[index] = static_cast<std::uint32_t>(std::min<Duration::rep>(age, UINT32_MAX));
        }
    }
    return status;
}

bool ConfigDistributor::isBehind(const ConfigStatus &status) const noexcept
{
    return std::any_of(allKeys.begin(), allKeys.end(), [this, &status](ConfigKey key) {
        const ConfigVersion version = status.versions[static_cast<std::size_t>(key)];
        return version > value(key).version() && !value(key).isRefused(version);
    });
}

bool ConfigDistributor::isReady() const noexcept
{
    return std::all_of(state_->keys.begin(), state_->keys.end(), [this](const State::KeyState &state) {
        return state.hasJoined && (state.value.text() || state_->hasJoinTimedOut);
    });
}

ConfigVersion ConfigDistributor::version(ConfigKey key) const noexcept
{
    return value(key).version();
}

std::shared_ptr<const std::string> ConfigDistributor::text(ConfigKey key) const noexcept
{
    return value(key).text();
}

bool ConfigDistributor::isReader(ConfigKey key) const noexcept
{
    return state_->readScheduler.isReader(key);
}

ConfigDistributor::Builder &ConfigDistributor::Builder::self(const MemberRecord &record)
{
    self_ = record;
    return *this;
}

ConfigDistributor::Builder &ConfigDistributor::Builder::validator(ValueValidator validator)
{
    validator_ = std::move(validator);
    return *this;
}

ConfigDistributor::Builder &ConfigDistributor::Builder::seed(std::uint64_t seed) noexcept
{
    seed_ = seed;
    return *this;
}

ConfigDistributor::Builder &ConfigDistributor::Builder::limits(const DistributionLimits &limits) noexcept
{
    limits_ = limits;
    return *this;
}

ConfigDistributor ConfigDistributor::Builder::build(TimePoint now) const
{
    const detail::ValueTransfer transfer(limits_);
    const ConfigDistributor::State::KeyState key{{}, transfer, false, false, false, {}, {}};
    ConfigDistributor distributor;
    distributor.limits_ = limits_;
    distributor.self_ = self_.daemon;
    distributor.validator_ = validator_;
    distributor.startedAt_ = now;
    distributor.state_ = std::make_unique<ConfigDistributor::State>(
        ConfigDistributor::State{{key, key, key},
                                 detail::ServiceReadScheduler(now, self_, mix(seed_, 1), limits_),
                                 detail::SendBudget(limits_.chunksPerSecond, limits_.chunkBurst),
                                 Random(mix(seed_, 2))});
    return distributor;
}

} // namespace sassafrasvane
