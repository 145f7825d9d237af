#include "wire/peerauth.h"
#include "wire/peercodec.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

namespace sassafrasvane
{

namespace
{

LeafRequest sampleRequest()
{
    LeafRequest request;
    request.kind = WorkKind::Run;
    request.query = QueryId{7};
    request.entryIncarnation = Incarnation{8};
    request.cls = ClassIndex{2};
    request.timeLeft = Duration{90'000};
    request.payload = "lanes";
    request.calls.push_back({CallId{1}, SearcherId{2}, IndexVersion{3}, {PartId{4}, PartId{5}}, true});
    return request;
}

LeafReply sampleReply()
{
    LeafReply reply;
    reply.query = QueryId{7};
    reply.reply = {CallId{1},
                   SearcherId{2},
                   IndexVersion{3},
                   CallOutcome::Answered,
                   Errc::Internal,
                   true,
                   {{PartId{4}, {{11, 0.5, "x"}}}}};
    reply.result = "{}";
    reply.served = Duration{1500};
    return reply;
}

std::string bodyOf(const PeerMessage &message)
{
    return encodeFrame(message).substr(frameHeaderSize);
}

} // namespace

BOOST_AUTO_TEST_CASE(messagesSurviveTheWire)
{
    const Result<PeerMessage> request = decodeBody(bodyOf(sampleRequest()));
    BOOST_REQUIRE(request.has_value());
    const LeafRequest &decoded = std::get<LeafRequest>(request.value());
    BOOST_TEST((decoded.kind == WorkKind::Run));
    BOOST_TEST((decoded.calls.at(0).parts == std::vector<PartId>{PartId{4}, PartId{5}}));
    BOOST_TEST(decoded.calls.at(0).isExtra);
    const Result<PeerMessage> reply = decodeBody(bodyOf(sampleReply()));
    BOOST_REQUIRE(reply.has_value());
    BOOST_TEST(std::get<LeafReply>(reply.value()).reply.parts.at(0).hits.at(0).score == 0.5);
    BOOST_TEST((std::get<LeafReply>(reply.value()).served == Duration{1500}));
    for (const PeerMessage &message :
         {PeerMessage(LeafCancel{Incarnation{1}, {CallId{2}}}),
          PeerMessage(PeerChallenge{"n"}),
          PeerMessage(PeerHello{DaemonId{1}, Incarnation{2}, "n", "d"}),
          PeerMessage(PeerWelcome{DaemonId{1}, Incarnation{2}, "d"}),
          PeerMessage(OnceForward{1, Incarnation{2}, "t", "k", "booking", "{}", Duration{5}, ""}),
          PeerMessage(OnceForwardReply{1, Incarnation{2}, Ran::Yes, Errc::Internal, "{}", Duration{0}}),
          PeerMessage(WarmthQuery{1, {SearcherId{2}}}),
          PeerMessage(WarmthReply{1, {{SearcherId{2}, Incarnation{3}, 4, Duration{5}}}}),
          PeerMessage(CrashNotice{{{Fingerprint{1}, 2, true, false, Duration{3}}}})}) {
        const Result<PeerMessage> again = decodeBody(bodyOf(message));
        BOOST_REQUIRE(again.has_value());
        BOOST_TEST(again.value().index() == message.index());
    }
}

BOOST_AUTO_TEST_CASE(framesAreCutWhereverTheStreamBreaks)
{
    const std::string stream = encodeFrame(sampleRequest()) + encodeFrame(sampleReply());
    for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
        FrameReader reader;
        std::size_t messages = 0;
        for (const std::string_view piece :
             {std::string_view(stream).substr(0, cut), std::string_view(stream).substr(cut)}) {
            reader.append(piece);
            while (const std::optional<Result<PeerMessage>> message = reader.next()) {
                BOOST_REQUIRE(message->has_value());
                ++messages;
            }
        }
        BOOST_TEST(messages == 2U);
    }
}

BOOST_AUTO_TEST_CASE(oversizedFrameIsRefusedBeforeItIsRead)
{
    FrameReader reader;
    reader.append(std::string_view("\xff\xff\xff\xff", 4));
    const std::optional<Result<PeerMessage>> message = reader.next();
    BOOST_REQUIRE(message.has_value());
    BOOST_TEST((message->error().errc() == Errc::BadMessage));
}

// Guards against many strangers that announce large frames and take the daemon's memory before they prove who they are.
BOOST_AUTO_TEST_CASE(frameIsRefusedAtItsLengthIfItIsOverTheLimitThatIsAskedFor)
{
    FrameReader reader;
    reader.append(std::string_view("\0\x7f\xff\xff", 4));
    BOOST_TEST(!reader.next().has_value());
    const std::optional<Result<PeerMessage>> message = reader.next(maxHandshakeFrameSize);
    BOOST_REQUIRE(message.has_value());
    BOOST_TEST((message->error().errc() == Errc::BadMessage));
}

BOOST_AUTO_TEST_CASE(everyTruncationIsAnError)
{
    const std::string body = bodyOf(sampleRequest());
    for (std::size_t size = 0; size < body.size(); ++size) {
        BOOST_TEST(decodeBody(std::string_view(body).substr(0, size)).has_error());
    }
}

RC_BOOST_PROP(randomBytesNeverThrow, (const std::string &bytes))
{
    const Result<PeerMessage> message = decodeBody(bytes);
    RC_ASSERT((message.has_error() || message.value().index() < std::variant_size_v<PeerMessage>));
}

BOOST_AUTO_TEST_CASE(digestBindsKeyRoleIdentityAndNonce)
{
    const std::vector<std::string> keys{"a key of sixteen", "another one of 16"};
    const PeerIdentity identity{DaemonId{1}, Incarnation{2}};
    const std::string digest = peerDigest(keys[1], "hello", identity, "nonce");
    BOOST_TEST(isPeerDigestValid(keys, "hello", identity, "nonce", digest));
    BOOST_TEST(!isPeerDigestValid(keys, "welcome", identity, "nonce", digest));
    BOOST_TEST(!isPeerDigestValid(keys, "hello", {DaemonId{1}, Incarnation{3}}, "nonce", digest));
    BOOST_TEST(!isPeerDigestValid(keys, "hello", identity, "other", digest));
    BOOST_TEST(!isPeerDigestValid(std::span(keys).first(1), "hello", identity, "nonce", digest));
}

} // namespace sassafrasvane
