#include "wire/peercodec.h"

#include <msgpack.hpp>

#include <stdexcept>

namespace sassafrasvane
{

namespace
{

using Packer = msgpack::packer<msgpack::sbuffer>;

/// Position of each message type in PeerMessage, which is its number on the wire.
constexpr std::size_t messageTypes = std::variant_size_v<PeerMessage>;

template<typename Id>
void packId(Packer &packer, Id id)
{
    packer.pack(id.value);
}

void packCall(Packer &packer, const SearchCall &call)
{
    packer.pack_array(5);
    packId(packer, call.call);
    packId(packer, call.searcher);
    packId(packer, call.version);
    packer.pack_array(static_cast<std::uint32_t>(call.parts.size()));
    for (const PartId part : call.parts) {
        packId(packer, part);
    }
    packer.pack(call.isExtra);
}

void packHit(Packer &packer, const Hit &hit)
{
    packer.pack_array(3);
    packer.pack(hit.key);
    packer.pack(hit.score);
    packer.pack(hit.body);
}

void packPart(Packer &packer, const PartResult &part)
{
    packer.pack_array(2);
    packId(packer, part.part);
    packer.pack_array(static_cast<std::uint32_t>(part.hits.size()));
    for (const Hit &hit : part.hits) {
        packHit(packer, hit);
    }
}

void packBody(Packer &packer, const LeafRequest &message)
{
    packer.pack_array(11);
    packer.pack(static_cast<int>(message.kind));
    packId(packer, message.query);
    packId(packer, message.entryIncarnation);
    packId(packer, message.cls);
    packer.pack(message.timeLeft.count());
    packer.pack(message.hitLimit);
    packId(packer, message.fingerprint);
    packer.pack(message.traceparent);
    packer.pack(message.payload);
    packer.pack(message.identity);
    packer.pack_array(static_cast<std::uint32_t>(message.calls.size()));
    for (const SearchCall &call : message.calls) {
        packCall(packer, call);
    }
}

void packBody(Packer &packer, const LeafReply &message)
{
    const SearchReply &reply = message.reply;
    packer.pack_array(12);
    packId(packer, message.query);
    packId(packer, message.entryIncarnation);
    packId(packer, reply.call);
    packId(packer, reply.searcher);
    packId(packer, reply.version);
    packer.pack(static_cast<int>(reply.outcome));
    packer.pack(static_cast<int>(reply.error));
    packer.pack(reply.wasSent);
    packer.pack_array(static_cast<std::uint32_t>(reply.parts.size()));
    for (const PartResult &part : reply.parts) {
        packPart(packer, part);
    }
    packer.pack(message.result);
    packer.pack(message.queued.count());
    packer.pack(message.served.count());
}

void packBody(Packer &packer, const LeafCancel &message)
{
    packer.pack_array(2);
    packId(packer, message.entryIncarnation);
    packer.pack_array(static_cast<std::uint32_t>(message.calls.size()));
    for (const CallId call : message.calls) {
        packId(packer, call);
    }
}

void packBody(Packer &packer, const PeerChallenge &message)
{
    packer.pack_array(1);
    packer.pack(message.nonce);
}

void packBody(Packer &packer, const PeerHello &message)
{
    packer.pack_array(4);
    packId(packer, message.daemon);
    packId(packer, message.incarnation);
    packer.pack(message.nonce);
    packer.pack(message.digest);
}

void packBody(Packer &packer, const PeerWelcome &message)
{
    packer.pack_array(3);
    packId(packer, message.daemon);
    packId(packer, message.incarnation);
    packer.pack(message.digest);
}

void packBody(Packer &packer, const OnceForward &message)
{
    packer.pack_array(8);
    packer.pack(message.forward);
    packId(packer, message.senderIncarnation);
    packer.pack(message.ticket);
    packer.pack(message.key);
    packer.pack(message.className);
    packer.pack(message.request);
    packer.pack(message.timeLeft.count());
    packer.pack(message.traceparent);
}

void packBody(Packer &packer, const OnceForwardReply &message)
{
    packer.pack_array(6);
    packer.pack(message.forward);
    packId(packer, message.senderIncarnation);
    packer.pack(static_cast<int>(message.ran));
    packer.pack(static_cast<int>(message.error));
    packer.pack(message.result);
    packer.pack(message.retryAfter.count());
}

void packBody(Packer &packer, const WarmthQuery &message)
{
    packer.pack_array(2);
    packer.pack(message.number);
    packer.pack_array(static_cast<std::uint32_t>(message.searchers.size()));
    for (const SearcherId searcher : message.searchers) {
        packId(packer, searcher);
    }
}

void packBody(Packer &packer, const WarmthReply &message)
{
    packer.pack_array(2);
    packer.pack(message.number);
    packer.pack_array(static_cast<std::uint32_t>(message.entries.size()));
    for (const WarmthEntry &entry : message.entries) {
        packer.pack_array(4);
        packId(packer, entry.searcher);
        packId(packer, entry.incarnation);
        packer.pack(entry.allowance);
        packer.pack(entry.age.count());
    }
}

void packBody(Packer &packer, const CrashNotice &message)
{
    packer.pack_array(1);
    packer.pack_array(static_cast<std::uint32_t>(message.entries.size()));
    for (const CrashEntry &entry : message.entries) {
        packer.pack_array(5);
        packId(packer, entry.fingerprint);
        packer.pack(entry.event);
        packer.pack(entry.isStrong);
        packer.pack(entry.isCleared);
        packer.pack(entry.timeLeft.count());
    }
}

/// Reads the elements of a MessagePack array in order; throws on any mismatch.
class ArrayReader
{
public:
    ArrayReader(const msgpack::object &object, std::size_t size) : array_(elements(object))
    {
        if (array_.size != size) {
            throw std::runtime_error("an array has " + std::to_string(array_.size) + " elements in place of "
                                     + std::to_string(size));
        }
    }

    const msgpack::object &next() { return array_.ptr[position_++]; }

    template<typename T>
    T read()
    {
        return next().as<T>();
    }

    template<typename Id>
    Id id()
    {
        return Id{next().as<typename Id::Value>()};
    }

    template<typename Enum>
    Enum choice(Enum first, Enum last)
    {
        const int value = next().as<int>();
        if (value < static_cast<int>(first) || value > static_cast<int>(last)) {
            throw std::runtime_error("the number " + std::to_string(value) + " names no value");
        }
        return static_cast<Enum>(value);
    }

    template<typename T, typename Read>
    std::vector<T> list(Read read)
    {
        const msgpack::object_array &items = elements(next());
        std::vector<T> values;
        values.reserve(items.size);
        for (std::uint32_t i = 0; i < items.size; ++i) {
            values.push_back(read(items.ptr[i]));
        }
        return values;
    }

private:
    static const msgpack::object_array &elements(const msgpack::object &object)
    {
        if (object.type != msgpack::type::ARRAY) {
            throw std::runtime_error("an array is missing");
        }
        return object.via.array;
    }

    const msgpack::object_array &array_;
    std::size_t position_ = 0;
};

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

std::string encodeFrame(const PeerMessage &message)
{
    msgpack::sbuffer buffer;
    const char header[frameHeaderSize] = {};
    buffer.write(header, frameHeaderSize);
    Packer packer(buffer);
    packer.pack_array(2);
    packer.pack(message.index());
    std::visit([&packer](const auto &body) { packBody(packer, body); }, message);
    const std::size_t size = buffer.size() - frameHeaderSize;
    std::string frame(buffer.data(), buffer.size());
    for (std::size_t i = 0; i < frameHeaderSize; ++i) {
        frame[i] = static_cast<char>((size >> (8 * (frameHeaderSize - 1 - i))) & 0xff);
    }
    return frame;
}

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

void FrameReader::append(std::string_view bytes)
{
    buffer_.erase(0, consumed_);
    consumed_ = 0;
    buffer_.append(bytes);
}

std::optional<Result<PeerMessage>> FrameReader::next()
{
    const std::string_view rest = std::string_view(buffer_).substr(consumed_);
    if (rest.size() < frameHeaderSize) {
        return std::nullopt;
    }
    std::size_t size = 0;
    for (std::size_t i = 0; i < frameHeaderSize; ++i) {
        size = (size << 8) | static_cast<unsigned char>(rest[i]);
    }
    if (size > maxFrameSize) {
        return Result<PeerMessage>(badMessage("a frame of " + std::to_string(size) + " bytes is too large"));
    }
    if (rest.size() < frameHeaderSize + size) {
        return std::nullopt;
    }
    consumed_ += frameHeaderSize + size;
    return decodeBody(rest.substr(frameHeaderSize, size));
}

} // namespace sassafrasvane
