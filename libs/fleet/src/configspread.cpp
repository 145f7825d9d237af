#include "fleet/configspread.h"

#include "configparts.h"

#include <algorithm>

namespace sassafrasvane
{

namespace
{

constexpr std::array<ConfigKey, configKeyCount> allKeys{ConfigKey::Configuration, ConfigKey::ShardMap, ConfigKey::Vms};

} // namespace

void SpreadActions::clear() noexcept
{
    sends.clear();
    reads.clear();
    accepted.clear();
    refused.clear();
    peersToTry.reset();
    wakeAt.reset();
}

ConfigSpread::ConfigSpread() = default;
ConfigSpread::ConfigSpread(ConfigSpread &&) noexcept = default;
ConfigSpread &ConfigSpread::operator=(ConfigSpread &&) noexcept = default;
ConfigSpread::~ConfigSpread() = default;

detail::PublishedValue &ConfigSpread::value(ConfigKey key) noexcept
{
    return parts_->key(key).value;
}

const detail::PublishedValue &ConfigSpread::value(ConfigKey key) const noexcept
{
    return parts_->key(key).value;
}

void ConfigSpread::onPeerStatus(TimePoint now, DaemonId peer, const SpreadStatus &status, SpreadActions &actions)
{
    for (const ConfigKey key : allKeys) {
        const std::size_t index = static_cast<std::size_t>(key);
        const ConfigVersion version = status.versions[index];
        const std::uint32_t age = status.serviceAgeMs[index];
        if (version.value == 0) {
            continue;
        }
        Parts::Key &state = parts_->key(key);
        if (!state.isSettled && std::find(state.heard.begin(), state.heard.end(), peer) == state.heard.end()) {
            state.heard.push_back(peer);
        }
        if (version == state.value.version() && age != UINT32_MAX) {
            parts_->readers.onPeerConfirmed(key, now - std::chrono::milliseconds(age));
        }
        onAnnounced(now, key, version, peer, actions);
        settle(now, key, actions);
    }
    wake(now, actions);
}

void ConfigSpread::offer(TimePoint now, ConfigKey key, ConfigVersion version, std::string text, SpreadActions &actions)
{
    Parts::Key &state = parts_->key(key);
    if (version <= state.value.version() || state.value.isRefused(version)) {
        return;
    }
    Result<void> verdict = boost::outcome_v2::success();
    if (text.size() > maxValueBytes) {
        verdict = Error{Errc::TooLarge, Step::Configuration, {}, "the value is larger than a megabyte"};
    } else if (validator_) {
        verdict = validator_(key, version, text);
    }
    if (verdict.has_value()) {
        state.value.accept(version, std::move(text));
        state.isSettled = true;
        state.held.reset();
        actions.accepted.push_back({key, version, state.value.text()});
        announce(key, actions);
        if (key == ConfigKey::Vms) {
            parts_->readers.setEpoch(now, version);
        }
    } else {
        state.value.refuse(version);
        actions.refused.push_back({key, version, verdict.error()});
    }
    if (state.transfer.wanted() <= version) {
        state.transfer.reset();
    } else if (state.transfer.isActive()) {
        request(now, key, actions);
    }
}

void ConfigSpread::onServiceReply(TimePoint now,
                                  ConfigKey key,
                                  ConfigVersion version,
                                  std::string text,
                                  SpreadActions &actions)
{
    Parts::Key &state = parts_->key(key);
    state.hasServiceAnswered = true;
    const ConfigVersion known = state.value.highestSeen();
    if (version < state.value.version()) {
        ++counters_.staleReplies;
        parts_->readers.onStaleReply(now, key);
    } else {
        parts_->readers.onCurrentReply(now, key);
    }
    const bool isConflict = version == state.value.version() && !text.empty() && state.value.text()
        && textDigest(text) != state.value.digest();
    counters_.conflicts += isConflict ? 1 : 0;
    if (!state.isSettled && version.value > 0 && version > known) {
        state.held = {version, std::move(text)};
        if (key == ConfigKey::Vms) {
            actions.peersToTry = {key, version, std::make_shared<const std::string>(state.held->second)};
        }
    } else {
        offer(now, key, version, std::move(text), actions);
    }
    settle(now, key, actions);
    startReads(now, actions);
    wake(now, actions);
}

void ConfigSpread::onServiceFailed(TimePoint now, ConfigKey key, SpreadActions &actions)
{
    ++counters_.serviceFailures;
    parts_->key(key).hasServiceAnswered = true;
    parts_->readers.onFailed(now, key);
    settle(now, key, actions);
    wake(now, actions);
}

void ConfigSpread::settle(TimePoint now, ConfigKey key, SpreadActions &actions)
{
    Parts::Key &state = parts_->key(key);
    if (state.isSettled) {
        return;
    }
    const std::size_t enough = std::min(limits_.newcomerPeers, std::max<std::size_t>(peers_.size(), 1));
    const bool hasHeardEnough = state.hasServiceAnswered && state.heard.size() >= enough;
    if (!hasHeardEnough && now < startedAt_ + limits_.newcomerWait) {
        return;
    }
    const ConfigVersion held = state.held ? state.held->first : ConfigVersion{0};
    if (state.transfer.isActive() && state.transfer.wanted() > held && now < startedAt_ + limits_.newcomerBound) {
        if (!state.isFetching) {
            state.isFetching = true;
            request(now, key, actions);
        }
        return;
    }
    state.isSettled = true;
    state.heard.clear();
    if (state.held) {
        std::pair<ConfigVersion, std::string> service = std::move(*state.held);
        state.held.reset();
        offer(now, key, service.first, std::move(service.second), actions);
    }
}

void ConfigSpread::onTimer(TimePoint now, SpreadActions &actions)
{
    parts_->isPastBound = now >= startedAt_ + limits_.newcomerBound;
    for (const ConfigKey key : allKeys) {
        repeatRequest(now, key, actions);
        settle(now, key, actions);
    }
    startReads(now, actions);
    wake(now, actions);
}

void ConfigSpread::repeatRequest(TimePoint now, ConfigKey key, SpreadActions &actions)
{
    Parts::Key &state = parts_->key(key);
    const bool mayAsk = state.isSettled || state.isFetching;
    if (!mayAsk || !state.transfer.isActive() || now < state.transfer.retryAt()) {
        return;
    }
    if (!state.transfer.stall()) {
        state.transfer.dropSource();
    }
    if (state.transfer.isActive()) {
        request(now, key, actions);
    }
}

void ConfigSpread::startReads(TimePoint now, SpreadActions &actions)
{
    for (const ConfigKey key : allKeys) {
        const Parts::Key &state = parts_->key(key);
        std::optional<ServiceRead> read = parts_->readers.take(now, key, state.value.highestSeen(), state.isSettled);
        if (read) {
            ++counters_.serviceCalls;
            actions.reads.push_back(*read);
        }
    }
}

void ConfigSpread::readNow(TimePoint now, ConfigKey key, SpreadActions &actions)
{
    parts_->readers.hurry(now, key);
    startReads(now, actions);
    wake(now, actions);
}

void ConfigSpread::setMembers(TimePoint now, std::span<const Member> members)
{
    peers_.clear();
    for (const Member &member : members) {
        if (member.record.state == MemberState::Alive) {
            peers_.push_back(member.record.daemon);
        }
    }
    parts_->readers.setMembers(now, members);
}

void ConfigSpread::wake(TimePoint now, SpreadActions &actions) const
{
    TimePoint next = std::max(now, parts_->readers.nextAt());
    for (const Parts::Key &state : parts_->keys) {
        if (!state.isSettled) {
            const TimePoint waitEnd = startedAt_ + limits_.newcomerWait;
            next = std::min(next, now < waitEnd ? waitEnd : now + limits_.retryAfter);
        }
        if ((state.isSettled || state.isFetching) && state.transfer.isActive()) {
            next = std::min(next, std::max(now, state.transfer.retryAt()));
        }
    }
    actions.wakeAt = next;
}

SpreadStatus ConfigSpread::status(TimePoint now) const noexcept
{
    SpreadStatus status;
    for (const ConfigKey key : allKeys) {
        const std::size_t index = static_cast<std::size_t>(key);
        status.versions[index] = value(key).version();
        const std::optional<TimePoint> confirmedAt = parts_->readers.confirmedAt(key);
        if (confirmedAt) {
            const Duration::rep age = std::max<Duration::rep>(0, (now - *confirmedAt).count() / 1000);
            status.serviceAgeMs[index] = static_cast<std::uint32_t>(std::min<Duration::rep>(age, UINT32_MAX));
        }
    }
    return status;
}

bool ConfigSpread::isBehind(const SpreadStatus &status) const noexcept
{
    return std::any_of(allKeys.begin(), allKeys.end(), [this, &status](ConfigKey key) {
        const ConfigVersion version = status.versions[static_cast<std::size_t>(key)];
        return version > value(key).version() && !value(key).isRefused(version);
    });
}

bool ConfigSpread::isSettled() const noexcept
{
    return std::all_of(parts_->keys.begin(), parts_->keys.end(), [this](const Parts::Key &state) {
        return state.isSettled && (state.value.text() || parts_->isPastBound);
    });
}

ConfigVersion ConfigSpread::version(ConfigKey key) const noexcept
{
    return value(key).version();
}

std::shared_ptr<const std::string> ConfigSpread::text(ConfigKey key) const noexcept
{
    return value(key).text();
}

bool ConfigSpread::isReader(ConfigKey key) const noexcept
{
    return parts_->readers.isReader(key);
}

ConfigSpread::Builder &ConfigSpread::Builder::self(const MemberRecord &record)
{
    self_ = record;
    return *this;
}

ConfigSpread::Builder &ConfigSpread::Builder::validator(ValueValidator validator)
{
    validator_ = std::move(validator);
    return *this;
}

ConfigSpread::Builder &ConfigSpread::Builder::seed(std::uint64_t seed) noexcept
{
    seed_ = seed;
    return *this;
}

ConfigSpread::Builder &ConfigSpread::Builder::limits(const SpreadLimits &limits) noexcept
{
    limits_ = limits;
    return *this;
}

ConfigSpread ConfigSpread::Builder::build(TimePoint now) const
{
    const detail::ValueTransfer transfer(limits_);
    const ConfigSpread::Parts::Key key{{}, transfer, false, false, false, {}, {}};
    ConfigSpread spread;
    spread.limits_ = limits_;
    spread.self_ = self_.daemon;
    spread.validator_ = validator_;
    spread.startedAt_ = now;
    spread.parts_ = std::make_unique<ConfigSpread::Parts>(
        ConfigSpread::Parts{{key, key, key},
                            detail::ServiceReaders(now, self_, mix(seed_, 1), limits_),
                            detail::SendBudget(limits_.chunksPerSecond, limits_.chunkBurst),
                            Random(mix(seed_, 2))});
    return spread;
}

} // namespace sassafrasvane
