#include "fleet/gossipcodec.h"

#include "messageformat.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>

namespace sassafrasvane
{

namespace
{

/// Protocol version: the first byte of every datagram.
constexpr char protocolVersion = 1;

/// Bytes of the truncated HMAC (RFC 2104, section 5: at least half of the hash).
constexpr std::size_t hmacBytes = 16;

/// Maximum number of senders with a replay window.
constexpr std::size_t maxReplayWindows = 4'096;

/// Type of the message, in the order of the alternatives of FleetMessage.
enum class MessageType : std::uint8_t {
    Gossip,
    Config,
    Crash,
    Quota,
};

using Hmac = std::array<unsigned char, EVP_MAX_MD_SIZE>;

Hmac hmac(std::string_view key, std::string_view bytes)
{
    Hmac mac{};
    unsigned length = 0;
    HMAC(EVP_sha256(),
         key.data(),
         static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char *>(bytes.data()),
         bytes.size(),
         mac.data(),
         &length);
    return mac;
}

bool areKeysUsable(std::span<const std::string> keys) noexcept
{
    return !keys.empty() && std::none_of(keys.begin(), keys.end(), [](const std::string &key) { return key.empty(); });
}

Error error(Errc reason, const Address &from, const char *detail)
{
    return Error{reason, Step::Gossip, from.toString(), detail};
}

} // namespace

Result<void> GossipCodec::encode(DaemonId to, const FleetMessage &message, std::string &bytes)
{
    bytes.clear();
    bytes.push_back(protocolVersion);
    detail::DatagramWriter writer(bytes);
    writer.number(self_.value);
    writer.number(incarnation_.value);
    writer.number(++lastNumber_);
    writer.number(to.value);
    writer.number(message.index());
    std::visit([&writer](const auto &body) { detail::write(writer, body); }, message);
    if (bytes.size() + hmacBytes > maxDatagramBytes) {
        return Error{
            Errc::TooLarge, Step::Gossip, peerAddress(to).toString(), "the encoded message does not fit a datagram"};
    }
    bytes = sign(keys_.front(), bytes);
    return boost::outcome_v2::success();
}

std::string GossipCodec::sign(std::string_view key, std::string_view bytes)
{
    const Hmac mac = hmac(key, bytes);
    std::string out(bytes);
    out.append(reinterpret_cast<const char *>(mac.data()), hmacBytes);
    return out;
}

Result<FleetMessage> GossipCodec::decode(const Address &from, std::string_view bytes)
{
    Result<FleetMessage> result = error(Errc::BadMessage, from, "the datagram is shorter or longer than allowed");
    if (bytes.size() > hmacBytes + 1 && bytes.size() <= maxDatagramBytes) {
        if (!isAuthentic(bytes)) {
            result = error(Errc::NotAuthentic, from, "the HMAC matches no key of this fleet");
        } else if (bytes.front() != protocolVersion) {
            result = error(Errc::WrongVersion, from, "unknown protocol version");
        } else {
            result = decodeBody(from, bytes.substr(1, bytes.size() - 1 - hmacBytes));
        }
    }
    if (!result.has_value()) {
        ++refusals_[result.error().errc()];
    }
    return result;
}

bool GossipCodec::isAuthentic(std::string_view bytes) const
{
    const std::string_view body = bytes.substr(0, bytes.size() - hmacBytes);
    const char *claimed = bytes.data() + body.size();
    return std::any_of(keys_.begin(), keys_.end(), [body, claimed](const std::string &key) {
        return CRYPTO_memcmp(hmac(key, body).data(), claimed, hmacBytes) == 0;
    });
}

Result<FleetMessage> GossipCodec::decodeBody(const Address &from, std::string_view body)
{
    detail::DatagramReader reader(body);
    const DaemonId sender{reader.number()};
    const Incarnation incarnation{reader.number()};
    const std::uint64_t number = reader.number();
    const DaemonId receiver{reader.number()};
    const MessageType type = static_cast<MessageType>(reader.number(static_cast<std::uint64_t>(MessageType::Quota)));
    FleetMessage message;
    switch (type) {
    case MessageType::Gossip: {
        GossipMessage &gossip = message.emplace<GossipMessage>();
        gossip.sender.daemon = sender;
        gossip.sender.incarnation = incarnation;
        gossip.receiver = receiver;
        detail::read(reader, gossip);
        break;
    }
    case MessageType::Config: {
        ConfigMessage &config = message.emplace<ConfigMessage>();
        config.sender = sender;
        detail::read(reader, config);
        break;
    }
    case MessageType::Crash:
        detail::read(reader, message.emplace<CrashMessage>());
        break;
    case MessageType::Quota:
        detail::read(reader, message.emplace<QuotaMessage>());
        break;
    }
    if (!reader.isComplete()) {
        return error(Errc::BadMessage, from, "undecodable");
    }
    if (sender != daemonId(from)) {
        return error(Errc::NotAuthentic, from, "the source address is not the peer address of the sender");
    }
    if (receiver != self_) {
        return error(Errc::InvalidRequest, from, "addressed to another daemon");
    }
    const Result<void> window = checkReplay(from, incarnation, number, type == MessageType::Gossip);
    if (!window.has_value()) {
        return window.error();
    }
    return message;
}

Result<void> GossipCodec::checkReplay(const Address &from, Incarnation incarnation, std::uint64_t number, bool isGossip)
{
    const DaemonId sender = daemonId(from);
    if (replayWindows_.size() >= maxReplayWindows && !replayWindows_.contains(sender)) {
        // Clearing all windows is harmless, since replays are (see the class comment), and cheaper than an LRU order.
        replayWindows_.clear();
    }
    ReplayWindow &window = replayWindows_[sender];
    if (incarnation < window.incarnation) {
        // Membership refuses the sender's record and tells the sender its later incarnation.
        return isGossip
            ? Result<void>(boost::outcome_v2::success())
            : Result<void>(error(Errc::StaleIncarnation, from, "from an earlier incarnation of the sender"));
    }
    if (incarnation > window.incarnation) {
        window = ReplayWindow{};
        window.incarnation = incarnation;
    }
    if (!acceptNumber(window, number)) {
        return error(Errc::NotAuthentic, from, "replayed, or older than the replay window");
    }
    return boost::outcome_v2::success();
}

bool GossipCodec::acceptNumber(ReplayWindow &window, std::uint64_t number) noexcept
{
    // Sliding window as a ring of bits (RFC 6479).
    if (number + replayWindowSize <= window.highest) {
        return false;
    }
    if (number > window.highest) {
        const std::uint64_t last = std::min(number, window.highest + replayWindowSize);
        for (std::uint64_t place = window.highest + 1; place <= last; ++place) {
            window.seen[place % replayWindowSize / 64] &= ~(std::uint64_t{1} << (place % 64));
        }
        window.highest = number;
    }
    std::uint64_t &word = window.seen[number % replayWindowSize / 64];
    const std::uint64_t bit = std::uint64_t{1} << (number % 64);
    const bool isNew = (word & bit) == 0;
    word |= bit;
    return isNew;
}

void GossipCodec::setIncarnation(Incarnation incarnation) noexcept
{
    incarnation_ = incarnation;
}

Result<void> GossipCodec::setKeys(std::span<const std::string> keys)
{
    if (!areKeysUsable(keys)) {
        return Error{
            Errc::InvalidConfiguration, Step::Gossip, {}, "at least one peer key is required, and no key may be empty"};
    }
    keys_.assign(keys.begin(), keys.end());
    return boost::outcome_v2::success();
}

GossipCodec::Builder &GossipCodec::Builder::self(DaemonId daemon) noexcept
{
    self_ = daemon;
    return *this;
}

GossipCodec::Builder &GossipCodec::Builder::incarnation(Incarnation incarnation) noexcept
{
    incarnation_ = incarnation;
    return *this;
}

GossipCodec::Builder &GossipCodec::Builder::keys(std::span<const std::string> keys)
{
    keys_.assign(keys.begin(), keys.end());
    return *this;
}

Result<GossipCodec> GossipCodec::Builder::build() const
{
    GossipCodec codec;
    codec.self_ = self_;
    codec.incarnation_ = incarnation_;
    const Result<void> keys = codec.setKeys(keys_);
    if (!keys.has_value()) {
        return keys.error();
    }
    return codec;
}

} // namespace sassafrasvane
