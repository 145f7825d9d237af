#include "configdistributorstate.h"
#include "fleet/configdistributor.h"

#include <algorithm>

/// \file
/// Handling of the messages that ConfigDistributor exchanges with peers.

namespace sassafrasvane
{

Error ConfigDistributor::refuse(Errc reason, DaemonId peer, const char *detail)
{
    ++counters_.refusedMessages;
    return Error{reason, Step::Gossip, peerAddress(peer).toString(), detail};
}

Result<void> ConfigDistributor::handle(TimePoint now, const ConfigMessage &message, DistributionActions &actions)
{
    Result<void> result = boost::outcome_v2::success();
    const detail::PublishedValue &own = value(message.key);
    switch (message.kind) {
    case ConfigKind::Announce:
        if (message.version == own.version() && own.text() && message.digest != own.digest()) {
            ++counters_.conflicts;
            result = refuse(Errc::InvalidConfiguration,
                            message.sender,
                            "the announced digest differs from that of the same version in force here");
        } else {
            onAnnounced(now, message.key, message.version, message.sender, actions);
        }
        break;
    case ConfigKind::Fetch:
        sendChunks(now, message, actions);
        break;
    case ConfigKind::Chunk:
        result = onChunk(now, message, actions);
        break;
    }
    updateWakeAt(now, actions);
    return result;
}

void ConfigDistributor::onAnnounced(TimePoint now,
                                    ConfigKey key,
                                    ConfigVersion version,
                                    DaemonId peer,
                                    DistributionActions &actions)
{
    State::KeyState &state = state_->key(key);
    if (version <= state.value.version() || state.value.isRefused(version)) {
        return;
    }
    const bool wasIdle = !state.transfer.isActive();
    const bool isHigher = state.transfer.addSource(version, peer);
    if ((state.hasJoined || state.isFetchingForJoin) && (wasIdle || isHigher)) {
        request(now, key, actions);
    }
}

void ConfigDistributor::request(TimePoint now, ConfigKey key, DistributionActions &actions)
{
    State::KeyState &state = state_->key(key);
    ConfigMessage fetch;
    fetch.sender = self_;
    fetch.key = key;
    fetch.base = state.value.version();
    fetch.baseDigest = state.value.digest();
    const DaemonId source = state.transfer.request(now, state_->random, fetch);
    actions.sends.push_back({source, std::move(fetch)});
}

void ConfigDistributor::sendChunks(TimePoint now, const ConfigMessage &request, DistributionActions &actions)
{
    detail::PublishedValue &own = value(request.key);
    if (!own.text() || own.version() < request.version || request.base >= own.version()) {
        return;
    }
    const detail::ValueBody body = own.bodyFor(request.base, request.baseDigest);
    const std::size_t total = body.bytes->size();
    std::size_t offset = request.offset;
    for (std::uint32_t left = std::min(request.count, limits_.chunkWindow); left > 0; --left) {
        const bool isPastEnd = offset > 0 && offset >= total;
        if (isPastEnd || offset % maxChunkBytes != 0 || !state_->chunkBudget.take(now)) {
            break;
        }
        ConfigMessage chunk;
        chunk.kind = ConfigKind::Chunk;
        chunk.sender = self_;
        chunk.key = request.key;
        chunk.version = own.version();
        chunk.digest = own.digest();
        chunk.base = body.base;
        chunk.total = static_cast<std::uint32_t>(total);
        chunk.offset = static_cast<std::uint32_t>(offset);
        chunk.bytes = body.bytes->substr(offset, maxChunkBytes);
        actions.sends.push_back({request.sender, std::move(chunk)});
        offset += maxChunkBytes;
    }
    counters_.suppressedChunks = state_->chunkBudget.suppressed();
}

Result<void> ConfigDistributor::onChunk(TimePoint now, const ConfigMessage &message, DistributionActions &actions)
{
    State::KeyState &state = state_->key(message.key);
    if (message.version <= state.value.version() || state.value.isRefused(message.version)
        || !state.transfer.isSource(message.sender)) {
        return boost::outcome_v2::success();
    }
    if (!state.transfer.addChunk(now, message)) {
        return refuse(Errc::BadMessage, message.sender, "the chunk's offset or size does not fit its body");
    }
    if (state.transfer.isComplete()) {
        finishTransfer(now, message.key, actions);
    } else if (state.transfer.isRangeDone()) {
        request(now, message.key, actions);
    }
    return boost::outcome_v2::success();
}

void ConfigDistributor::finishTransfer(TimePoint now, ConfigKey key, DistributionActions &actions)
{
    State::KeyState &state = state_->key(key);
    const detail::ValueTransfer::Body body = state.transfer.body();
    const bool isWhole = body.base.value == 0;
    std::optional<std::string> text;
    if (isWhole) {
        text = body.bytes;
    } else if (body.base == state.value.version()) {
        text = applyDelta(*state.value.text(), body.bytes);
    }
    if (!text || textDigest(*text) != body.digest) {
        ++counters_.digestMismatches;
        state.transfer.restart(true);
        if (isWhole) {
            state.transfer.dropSource();
        }
        if (state.transfer.isActive()) {
            request(now, key, actions);
        }
        return;
    }
    ++(isWhole ? counters_.fullTextsReceived : counters_.deltasApplied);
    state.transfer.restart(false);
    validateAndAccept(now, key, body.version, std::move(*text), actions);
}

void ConfigDistributor::announce(ConfigKey key, DistributionActions &actions)
{
    ConfigMessage message;
    message.kind = ConfigKind::Announce;
    message.sender = self_;
    message.key = key;
    message.version = value(key).version();
    message.digest = value(key).digest();
    std::vector<DaemonId> peers = peers_;
    const std::size_t count = std::min(limits_.announceFanout, peers.size());
    for (std::size_t place = 0; place < count; ++place) {
        std::swap(peers[place], peers[place + state_->random.below(peers.size() - place)]);
        actions.sends.push_back({peers[place], message});
    }
}

} // namespace sassafrasvane
