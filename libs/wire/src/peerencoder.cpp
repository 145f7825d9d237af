#include "wire/peercodec.h"

#include <msgpack.hpp>

namespace sassafrasvane
{

namespace
{

using Packer = msgpack::packer<msgpack::sbuffer>;

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

} // namespace sassafrasvane
