#include "fleet/gossipcodec.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

namespace sassafrasvane
{

namespace
{

const Address first{0x7f000001, 7001};
const Address second{0x7f000002, 7001};

GossipCodec codecOf(const Address &address, std::vector<std::string> keys, std::uint64_t incarnation = 5)
{
    return GossipCodec::Builder()
        .self(daemonId(address))
        .incarnation(Incarnation{incarnation})
        .keys(keys)
        .build()
        .value();
}

MemberRecord largestRecord()
{
    MemberRecord record;
    record.daemon = DaemonId{UINT64_MAX};
    record.incarnation = Incarnation{UINT64_MAX};
    record.sequence = UINT32_MAX;
    record.state = MemberState::Left;
    record.phase = MemberPhase::Leaving;
    record.callerAddress = {UINT32_MAX, UINT16_MAX};
    record.failureDomain.assign(maxRecordNameBytes, 'd');
    record.region.assign(maxRecordNameBytes, 'r');
    record.suspectedBy = DaemonId{UINT64_MAX};
    return record;
}

GossipMessage gossipOf(std::uint64_t probe)
{
    GossipMessage message;
    message.sender.daemon = daemonId(first);
    message.sender.incarnation = Incarnation{5};
    message.sender.failureDomain = "north";
    message.receiver = daemonId(second);
    message.probe = probe;
    return message;
}

Errc reasonOf(const Result<FleetMessage> &result)
{
    return result.has_value() ? Errc::Internal : result.error().errc();
}

} // namespace

BOOST_AUTO_TEST_CASE(decodedMessagesEqualTheEncodedOnes)
{
    GossipCodec sender = codecOf(first, {"k1"});
    GossipCodec receiver = codecOf(second, {"k1"});
    std::string bytes;
    GossipMessage gossip = gossipOf(9);
    gossip.kind = GossipKind::SyncRequest;
    gossip.records.push_back(largestRecord());
    gossip.digest.assign(digestBuckets, UINT32_MAX);
    gossip.status.versions[1] = ConfigVersion{77};
    BOOST_REQUIRE(sender.encode(daemonId(second), gossip, bytes).has_value());
    BOOST_TEST((std::get<GossipMessage>(receiver.decode(first, bytes).value()) == gossip));

    ConfigMessage config;
    config.kind = ConfigKind::Chunk;
    config.sender = daemonId(first);
    config.key = ConfigKey::Vms;
    config.version = ConfigVersion{UINT64_MAX};
    config.digest = {1, 2};
    config.total = 5'000;
    config.bytes.assign(maxChunkBytes, '\0');
    BOOST_REQUIRE(sender.encode(daemonId(second), config, bytes).has_value());
    BOOST_TEST((std::get<ConfigMessage>(receiver.decode(first, bytes).value()) == config));

    const CrashMessage crashes{{{Fingerprint{7}, 8, true, false, std::chrono::seconds(600)}}};
    BOOST_REQUIRE(sender.encode(daemonId(second), crashes, bytes).has_value());
    BOOST_TEST((std::get<CrashMessage>(receiver.decode(first, bytes).value()) == crashes));

    const QuotaMessage quota{{7, 8, wholeQuotaPermille, 12, true, {{9, 10, 11, 12, 13}}}};
    BOOST_REQUIRE(sender.encode(daemonId(second), quota, bytes).has_value());
    BOOST_TEST((std::get<QuotaMessage>(receiver.decode(first, bytes).value()) == quota));
}

BOOST_AUTO_TEST_CASE(largestMessagesFitADatagram)
{
    GossipCodec sender = codecOf(first, {"k1"}, UINT64_MAX);
    GossipMessage gossip = gossipOf(UINT64_MAX);
    gossip.sender = largestRecord();
    gossip.target = DaemonId{UINT64_MAX};
    gossip.status.versions.fill(ConfigVersion{UINT64_MAX});
    gossip.records.assign(maxRecordsPerMessage, largestRecord());
    std::string bytes;
    BOOST_TEST(sender.encode(DaemonId{UINT64_MAX}, gossip, bytes).has_value());
    ConfigMessage config;
    config.version = ConfigVersion{UINT64_MAX};
    config.base = ConfigVersion{UINT64_MAX};
    config.digest = config.baseDigest = {UINT64_MAX, UINT64_MAX};
    config.total = config.offset = config.count = UINT32_MAX;
    config.bytes.assign(maxChunkBytes, 'x');
    BOOST_TEST(sender.encode(DaemonId{UINT64_MAX}, config, bytes).has_value());
    CrashMessage crashes;
    crashes.entries.assign(maxCrashEntriesPerMessage,
                           {Fingerprint{UINT64_MAX}, UINT64_MAX, true, true, std::chrono::milliseconds(UINT32_MAX)});
    BOOST_TEST(sender.encode(DaemonId{UINT64_MAX}, crashes, bytes).has_value());
    QuotaMessage quota{{UINT64_MAX, UINT64_MAX, wholeQuotaPermille, UINT32_MAX, true, {}}};
    quota.report.entries.assign(maxEntriesPerQuotaReport, {UINT64_MAX, UINT64_MAX, UINT32_MAX, UINT32_MAX, UINT32_MAX});
    BOOST_TEST(sender.encode(DaemonId{UINT64_MAX}, quota, bytes).has_value());
}

// Guards against memory and parts of the quota that a datagram merely claims.
BOOST_AUTO_TEST_CASE(quotaMessageBeyondItsLimitsIsRefused)
{
    GossipCodec sender = codecOf(first, {"k1"});
    GossipCodec receiver = codecOf(second, {"k1"});
    std::string bytes;
    QuotaMessage quota;
    quota.report.partPermille = wholeQuotaPermille + 1;
    BOOST_REQUIRE(sender.encode(daemonId(second), quota, bytes).has_value());
    BOOST_TEST((reasonOf(receiver.decode(first, bytes)) == Errc::BadMessage));
    quota.report.partPermille = 1;
    quota.report.entries.resize(maxEntriesPerQuotaReport + 1);
    BOOST_REQUIRE(sender.encode(daemonId(second), quota, bytes).has_value());
    BOOST_TEST((reasonOf(receiver.decode(first, bytes)) == Errc::BadMessage));
}

BOOST_AUTO_TEST_CASE(foreignReplayedMisdirectedAndOtherVersionsAreRefusedAndCounted)
{
    GossipCodec sender = codecOf(first, {"k1"});
    GossipCodec receiver = codecOf(second, {"k2"});
    std::string bytes;
    BOOST_REQUIRE(sender.encode(daemonId(second), gossipOf(1), bytes).has_value());
    const Result<FleetMessage> foreign = receiver.decode(first, bytes);
    BOOST_TEST((reasonOf(foreign) == Errc::NotAuthentic));
    BOOST_TEST((foreign.error().step == Step::Gossip));
    BOOST_TEST(foreign.error().peer == first.toString());
    // Key rotation: accept both keys, sign with the new one, then remove the old one.
    BOOST_REQUIRE(receiver.setKeys(std::vector<std::string>{"k2", "k1"}).has_value());
    BOOST_TEST(receiver.decode(first, bytes).has_value());
    BOOST_TEST((reasonOf(receiver.decode(first, bytes)) == Errc::NotAuthentic));
    BOOST_REQUIRE(sender.encode(daemonId(first), gossipOf(1), bytes).has_value());
    BOOST_TEST((reasonOf(receiver.decode(first, bytes)) == Errc::InvalidRequest));
    BOOST_REQUIRE(sender.encode(daemonId(second), gossipOf(1), bytes).has_value());
    BOOST_TEST((reasonOf(receiver.decode(second, bytes)) == Errc::NotAuthentic));
    bytes[0] = 2;
    BOOST_TEST((reasonOf(receiver.decode(first, bytes)) == Errc::NotAuthentic));
    BOOST_TEST(receiver.refusals().at(Errc::NotAuthentic) == 4U);
    BOOST_TEST(!receiver.setKeys(std::vector<std::string>{"k2", ""}).has_value());
}

BOOST_AUTO_TEST_CASE(configMessageOfAnEarlierIncarnationIsRefused)
{
    GossipCodec later = codecOf(first, {"k1"}, 6);
    GossipCodec earlier = codecOf(first, {"k1"}, 5);
    GossipCodec receiver = codecOf(second, {"k1"});
    std::string bytes;
    ConfigMessage config;
    BOOST_REQUIRE(later.encode(daemonId(second), config, bytes).has_value());
    BOOST_TEST(receiver.decode(first, bytes).has_value());
    BOOST_REQUIRE(earlier.encode(daemonId(second), config, bytes).has_value());
    BOOST_TEST((reasonOf(receiver.decode(first, bytes)) == Errc::StaleIncarnation));
}

RC_BOOST_PROP(everyNumberIsTakenOnceInAnyOrder, ())
{
    GossipCodec sender = codecOf(first, {"k1"});
    GossipCodec receiver = codecOf(second, {"k1"});
    std::vector<std::string> datagrams(20);
    for (std::string &bytes : datagrams) {
        RC_ASSERT(sender.encode(daemonId(second), gossipOf(1), bytes).has_value());
    }
    std::vector<bool> taken(datagrams.size(), false);
    const std::vector<std::size_t> order
        = *rc::gen::container<std::vector<std::size_t>>(60, rc::gen::inRange<std::size_t>(0, datagrams.size()));
    for (const std::size_t place : order) {
        RC_ASSERT(receiver.decode(first, datagrams[place]).has_value() == !taken[place]);
        taken[place] = true;
    }
}

RC_BOOST_PROP(signedGarbageIsRefusedWithoutACrash, (const std::string &body, std::uint16_t cut, std::uint16_t flip))
{
    // The input is a prefix of a message with one byte changed, followed by random bytes. It is signed with a valid
    // key, so that it reaches the parser.
    GossipCodec sender = codecOf(first, {"k1"});
    GossipCodec receiver = codecOf(second, {"k1"});
    GossipMessage gossip = gossipOf(1);
    gossip.records.push_back(largestRecord());
    std::string bytes;
    RC_ASSERT(sender.encode(daemonId(second), gossip, bytes).has_value());
    std::string damaged = bytes.substr(0, 1 + cut % (bytes.size() - 16));
    damaged[flip % damaged.size()] = static_cast<char>(flip >> 8);
    damaged += body;
    receiver.decode(first, damaged).has_value();
    const std::string resigned = GossipCodec::sign("k1", damaged);
    const Result<FleetMessage> result = receiver.decode(first, resigned);
    if (result.has_value()) {
        std::string again;
        RC_ASSERT(sender.encode(daemonId(second), result.value(), again).has_value());
    } else {
        RC_ASSERT(result.error().step == Step::Gossip);
        RC_ASSERT(receiver.refusals().at(result.error().errc()) > 0U);
    }
}

BOOST_AUTO_TEST_CASE(otherProtocolVersionIsRefused)
{
    GossipCodec receiver = codecOf(second, {"k1"});
    BOOST_TEST((reasonOf(receiver.decode(first, GossipCodec::sign("k1", "\x02later"))) == Errc::WrongVersion));
    BOOST_TEST((reasonOf(receiver.decode(first, "")) == Errc::BadMessage));
    BOOST_TEST((reasonOf(receiver.decode(first, std::string(maxDatagramBytes + 1, 'x'))) == Errc::BadMessage));
}

} // namespace sassafrasvane
