#include "configparts.h"
#include "fleet/configspread.h"

#include <algorithm>

/// \file
/// The messages of ConfigSpread between peers.

namespace sassafrasvane
{

Error ConfigSpread::refuse(Errc reason, DaemonId peer, const char *detail)
{
    ++counters_.refusedMessages;
    return Error{reason, Step::Gossip, peerAddress(peer).toString(), detail};
}

Result<void> ConfigSpread::handle(TimePoint now, const ConfigMessage &message, SpreadActions &actions)
{
    Result<void> result = boost::outcome_v2::success();
    const detail::PublishedValue &own = value(message.key);
    switch (message.kind) {
    case ConfigKind::Announce:
        if (message.version == own.version() && own.text() && message.digest != own.digest()) {
            ++counters_.conflicts;
            result = refuse(Errc::InvalidConfiguration, message.sender, "another text under the version in force");
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
    wake(now, actions);
    return result;
}

void ConfigSpread::onAnnounced(TimePoint now,
                               ConfigKey key,
                               ConfigVersion version,
                               DaemonId peer,
                               SpreadActions &actions)
{
    Parts::Key &state = parts_->key(key);
    if (version <= state.value.version() || state.value.isRefused(version)) {
        return;
    }
    const bool wasIdle = !state.transfer.isActive();
    const bool isHigher = state.transfer.want(version, peer);
    if ((state.isSettled || state.isFetching) && (wasIdle || isHigher)) {
        request(now, key, actions);
    }
}

void ConfigSpread::request(TimePoint now, ConfigKey key, SpreadActions &actions)
{
    Parts::Key &state = parts_->key(key);
    ConfigMessage fetch;
    fetch.sender = self_;
    fetch.key = key;
    fetch.base = state.value.version();
    fetch.baseDigest = state.value.digest();
    const DaemonId source = state.transfer.request(now, parts_->random, fetch);
    actions.sends.push_back({source, std::move(fetch)});
}

void ConfigSpread::sendChunks(TimePoint now, const ConfigMessage &request, SpreadActions &actions)
{
    detail::PublishedValue &own = value(request.key);
    if (!own.text() || own.version() < request.version || request.base >= own.version()) {
        return;
    }
    const detail::ValueBody body = own.bodyFor(request.base, request.baseDigest);
    const std::size_t total = body.bytes->size();
    std::size_t offset = request.offset;
    for (std::uint32_t left = std::min(request.count, limits_.window); left > 0; --left) {
        const bool isPastEnd = offset > 0 && offset >= total;
        if (isPastEnd || offset % maxChunkBytes != 0 || !parts_->chunks.take(now)) {
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
    counters_.suppressedChunks = parts_->chunks.suppressed();
}

Result<void> ConfigSpread::onChunk(TimePoint now, const ConfigMessage &message, SpreadActions &actions)
{
    Parts::Key &state = parts_->key(message.key);
    if (message.version <= state.value.version() || state.value.isRefused(message.version)
        || !state.transfer.isSource(message.sender)) {
        return boost::outcome_v2::success();
    }
    if (!state.transfer.take(now, message)) {
        return refuse(Errc::BadMessage, message.sender, "a chunk outside its value");
    }
    if (state.transfer.isComplete()) {
        finishTransfer(now, message.key, actions);
    } else if (state.transfer.isRangeDone()) {
        request(now, message.key, actions);
    }
    return boost::outcome_v2::success();
}

void ConfigSpread::finishTransfer(TimePoint now, ConfigKey key, SpreadActions &actions)
{
    Parts::Key &state = parts_->key(key);
    const detail::ValueTransfer::Body body = state.transfer.body();
    const bool isWhole = body.base.value == 0;
    std::optional<std::string> text;
    if (isWhole) {
        text = body.bytes;
    } else if (body.base == state.value.version()) {
        text = applyDelta(*state.value.text(), body.bytes);
    }
    if (!text || textDigest(*text) != body.digest) {
        ++counters_.damagedBodies;
        state.transfer.restart(true);
        if (isWhole) {
            state.transfer.dropSource();
        }
        if (state.transfer.isActive()) {
            request(now, key, actions);
        }
        return;
    }
    ++(isWhole ? counters_.wholesTaken : counters_.deltasApplied);
    state.transfer.restart(false);
    offer(now, key, body.version, std::move(*text), actions);
}

void ConfigSpread::announce(ConfigKey key, SpreadActions &actions)
{
    ConfigMessage message;
    message.kind = ConfigKind::Announce;
    message.sender = self_;
    message.key = key;
    message.version = value(key).version();
    message.digest = value(key).digest();
    std::vector<DaemonId> peers = peers_;
    const std::size_t count = std::min(limits_.announcePeers, peers.size());
    for (std::size_t place = 0; place < count; ++place) {
        std::swap(peers[place], peers[place + parts_->random.below(peers.size() - place)]);
        actions.sends.push_back({peers[place], message});
    }
}

} // namespace sassafrasvane
