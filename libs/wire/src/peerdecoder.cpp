#include "arrayreader.h"
#include "wire/peercodec.h"

namespace sassafrasvane
{

namespace
{

using detail::ArrayReader;

/// Position of each message type in PeerMessage, which is its number on the wire.
constexpr std::size_t messageTypes = std::variant_size_v<PeerMessage>;

template<typename Id>
Id readId(const msgpack::object &object)
{
    return Id{object.as<typename Id::Value>()};
}

SearchCall readCall(const msgpack::object &object)
{
    ArrayReader reader(object, 5);
    SearchCall call;
    call.call = reader.id<CallId>();
    call.searcher = reader.id<SearcherId>();
    call.version = reader.id<IndexVersion>();
    call.parts = reader.list<PartId>(readId<PartId>);
    call.isExtra = reader.read<bool>();
    return call;
}

Hit readHit(const msgpack::object &object)
{
    ArrayReader reader(object, 3);
    Hit hit;
    hit.key = reader.read<std::uint64_t>();
    hit.score = reader.read<double>();
    hit.body = reader.read<std::string>();
    return hit;
}

PartResult readPart(const msgpack::object &object)
{
    ArrayReader reader(object, 2);
    PartResult part;
    part.part = reader.id<PartId>();
    part.hits = reader.list<Hit>(readHit);
    return part;
}

LeafRequest readLeafRequest(const msgpack::object &object)
{
    ArrayReader reader(object, 11);
    LeafRequest message;
    message.kind = reader.choice(WorkKind::Search, WorkKind::Run);
    message.query = reader.id<QueryId>();
    message.entryIncarnation = reader.id<Incarnation>();
    message.cls = reader.id<ClassIndex>();
    message.timeLeft = Duration(reader.read<Duration::rep>());
    message.hitLimit = reader.read<std::uint32_t>();
    message.fingerprint = reader.id<Fingerprint>();
    message.traceparent = reader.read<std::string>();
    message.payload = reader.read<std::string>();
    message.identity = reader.read<std::string>();
    message.calls = reader.list<SearchCall>(readCall);
    return message;
}

LeafReply readLeafReply(const msgpack::object &object)
{
    ArrayReader reader(object, 12);
    LeafReply message;
    message.query = reader.id<QueryId>();
    message.entryIncarnation = reader.id<Incarnation>();
    message.reply.call = reader.id<CallId>();
    message.reply.searcher = reader.id<SearcherId>();
    message.reply.version = reader.id<IndexVersion>();
    message.reply.outcome = reader.choice(CallOutcome::Answered, CallOutcome::Failed);
    message.reply.error = reader.choice(Errc::InvalidRequest, Errc::Internal);
    message.reply.wasSent = reader.read<bool>();
    message.reply.parts = reader.list<PartResult>(readPart);
    message.result = reader.read<std::string>();
    message.queued = Duration(reader.read<Duration::rep>());
    message.served = Duration(reader.read<Duration::rep>());
    return message;
}

LeafCancel readLeafCancel(const msgpack::object &object)
{
    ArrayReader reader(object, 2);
    LeafCancel message;
    message.entryIncarnation = reader.id<Incarnation>();
    message.calls = reader.list<CallId>(readId<CallId>);
    return message;
}

PeerHello readPeerHello(const msgpack::object &object)
{
    ArrayReader reader(object, 4);
    PeerHello message;
    message.daemon = reader.id<DaemonId>();
    message.incarnation = reader.id<Incarnation>();
    message.nonce = reader.read<std::string>();
    message.digest = reader.read<std::string>();
    return message;
}

PeerWelcome readPeerWelcome(const msgpack::object &object)
{
    ArrayReader reader(object, 3);
    PeerWelcome message;
    message.daemon = reader.id<DaemonId>();
    message.incarnation = reader.id<Incarnation>();
    message.digest = reader.read<std::string>();
    return message;
}

OnceForward readOnceForward(const msgpack::object &object)
{
    ArrayReader reader(object, 8);
    OnceForward message;
    message.forward = reader.read<std::uint64_t>();
    message.senderIncarnation = reader.id<Incarnation>();
    message.ticket = reader.read<std::string>();
    message.key = reader.read<std::string>();
    message.className = reader.read<std::string>();
    message.request = reader.read<std::string>();
    message.timeLeft = Duration(reader.read<Duration::rep>());
    message.traceparent = reader.read<std::string>();
    return message;
}

OnceForwardReply readOnceForwardReply(const msgpack::object &object)
{
    ArrayReader reader(object, 6);
    OnceForwardReply message;
    message.forward = reader.read<std::uint64_t>();
    message.senderIncarnation = reader.id<Incarnation>();
    message.ran = reader.choice(Ran::No, Ran::Unknown);
    message.error = reader.choice(Errc::InvalidRequest, Errc::Internal);
    message.result = reader.read<std::string>();
    message.retryAfter = Duration(reader.read<Duration::rep>());
    return message;
}

WarmthQuery readWarmthQuery(const msgpack::object &object)
{
    ArrayReader reader(object, 2);
    WarmthQuery message;
    message.number = reader.read<std::uint64_t>();
    message.searchers = reader.list<SearcherId>(readId<SearcherId>);
    return message;
}

WarmthEntry readWarmthEntry(const msgpack::object &object)
{
    ArrayReader reader(object, 4);
    WarmthEntry entry;
    entry.searcher = reader.id<SearcherId>();
    entry.incarnation = reader.id<Incarnation>();
    entry.allowance = reader.read<std::uint32_t>();
    entry.age = Duration(reader.read<Duration::rep>());
    return entry;
}

WarmthReply readWarmthReply(const msgpack::object &object)
{
    ArrayReader reader(object, 2);
    WarmthReply message;
    message.number = reader.read<std::uint64_t>();
    message.entries = reader.list<WarmthEntry>(readWarmthEntry);
    return message;
}

CrashEntry readCrashEntry(const msgpack::object &object)
{
    ArrayReader reader(object, 5);
    CrashEntry entry;
    entry.fingerprint = reader.id<Fingerprint>();
    entry.event = reader.read<std::uint64_t>();
    entry.isStrong = reader.read<bool>();
    entry.isCleared = reader.read<bool>();
    entry.timeLeft = Duration(reader.read<Duration::rep>());
    return entry;
}

PeerMessage readMessage(std::size_t type, const msgpack::object &body)
{
    switch (type) {
    case 0:
        return readLeafRequest(body);
    case 1:
        return readLeafReply(body);
    case 2:
        return readLeafCancel(body);
    case 3:
        return PeerChallenge{ArrayReader(body, 1).read<std::string>()};
    case 4:
        return readPeerHello(body);
    case 5:
        return readPeerWelcome(body);
    case 6:
        return readOnceForward(body);
    case 7:
        return readOnceForwardReply(body);
    case 8:
        return readWarmthQuery(body);
    case 9:
        return readWarmthReply(body);
    case 10:
        return CrashNotice{ArrayReader(body, 1).list<CrashEntry>(readCrashEntry)};
    default:
        throw std::runtime_error("message type " + std::to_string(type) + " is unknown");
    }
}
static_assert(messageTypes == 11, "readMessage must know every message type");

Error badMessage(const std::string &detail)
{
    return Error{Errc::BadMessage, Step::Receive, {}, detail};
}

/// Bounds what a body may make the decoder allocate; every element takes at least one byte.
msgpack::unpack_limit limitsFor(std::size_t bodySize)
{
    constexpr std::size_t maxDepth = 8;
    return {bodySize, 0, bodySize, bodySize, 0, maxDepth};
}

} // namespace

Result<PeerMessage> decodeBody(std::string_view body)
{
    try {
        const msgpack::object_handle handle
            = msgpack::unpack(body.data(), body.size(), nullptr, nullptr, limitsFor(body.size()));
        ArrayReader reader(handle.get(), 2);
        const std::size_t type = reader.read<std::size_t>();
        return readMessage(type, reader.next());
    } catch (const std::exception &exception) {
        return badMessage(exception.what());
    }
}

} // namespace sassafrasvane
