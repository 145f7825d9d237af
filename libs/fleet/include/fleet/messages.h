#pragma once

#include "admission/crashbar.h"
#include "base/address.h"
#include "base/ids.h"
#include "base/time.h"
#include "tenancy/quotareport.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// \file
/// The typed messages that daemons exchange in datagrams.

namespace sassafrasvane
{

/// Maximum size of a datagram in bytes: with its headers it stays below the common path MTU of 1,280.
constexpr std::size_t maxDatagramBytes = 1'200;

/// Maximum length of the name of a failure domain or a region in a record, in bytes.
constexpr std::size_t maxRecordNameBytes = 32;

/// Maximum number of records in one message. With names of maximum length they still fit a datagram.
constexpr std::size_t maxRecordsPerMessage = 7;

/// Number of buckets in the digest of a member table.
constexpr std::size_t digestBuckets = 64;

/// Maximum number of entries in one CrashMessage. They fit a datagram.
constexpr std::size_t maxCrashEntriesPerMessage = 32;

/// Maximum bytes of a published value in one ConfigMessage.
constexpr std::size_t maxChunkBytes = 1'000;

/// State of a member as other members see it. At equal incarnation and sequence the enumerator that stands later here
/// supersedes the earlier one.
enum class MemberState : std::uint8_t {
    Alive,
    Suspect, ///< A probe failed; becomes Dead unless the member refutes it in time.
    Dead,
    Left, ///< The member stopped as planned.
};

/// \return the stable lower-case name of \p state, for log lines and operators.
const char *name(MemberState state) noexcept;

/// Phase that a member announces of itself.
enum class MemberPhase : std::uint8_t {
    Serving,
    Leaving, ///< Takes no new work.
};

/// State of one member. Records are ordered by incarnation, then sequence, then state.
struct MemberRecord {
    DaemonId daemon;
    Incarnation incarnation;
    /// Only the member itself raises it, to refute a suspicion or to change its phase.
    std::uint32_t sequence = 0;
    MemberState state = MemberState::Alive;
    MemberPhase phase = MemberPhase::Serving;
    /// Address at which the member serves callers.
    Address callerAddress;
    std::string failureDomain;
    std::string region;
    /// CPU share of the member's VM in hundredths of a core; 0 if unknown.
    std::uint16_t capacity = 0;
    /// The daemon that raised the suspicion; 0 if the state is Alive or Left.
    DaemonId suspectedBy;

    bool operator==(const MemberRecord &) const = default;
};

/// True if \p first is newer than \p second.
bool supersedes(const MemberRecord &first, const MemberRecord &second) noexcept;

/// The published values that ConfigDistributor distributes to all daemons.
enum class ConfigKey : std::uint8_t {
    Configuration,
    ShardMap,
    Vms,
};

/// Number of ConfigKey values.
constexpr std::size_t configKeyCount = 3;

/// \return the name of the key in the platform's service: "configuration", "shardmap" or "vms".
const char *name(ConfigKey key) noexcept;

/// Versions that a daemon has in force; part of every GossipMessage.
struct ConfigStatus {
    /// Version in force of each ConfigKey; 0 for none.
    std::array<ConfigVersion, configKeyCount> versions;
    /// Time since the service last confirmed each version, to this daemon or to one whose status reached it, in
    /// milliseconds; UINT32_MAX if never.
    std::array<std::uint32_t, configKeyCount> serviceAgeMs{UINT32_MAX, UINT32_MAX, UINT32_MAX};

    bool operator==(const ConfigStatus &) const = default;
};

/// Kind of a GossipMessage.
enum class GossipKind : std::uint8_t {
    Ping,        ///< Asks for an Ack.
    Ack,         ///< Answers a Ping, or a PingRequest on behalf of its target.
    PingRequest, ///< Asks for a Ping to the target on the sender's behalf.
    Notify,      ///< Carries records only.
    SyncRequest, ///< Carries the digest of the sender's table; asks for the records that differ.
    SyncRecords, ///< Answers a SyncRequest.
};

/// One membership message.
struct GossipMessage {
    GossipKind kind = GossipKind::Ping;
    /// The sender's own record.
    MemberRecord sender;
    /// The daemon that the message is addressed to.
    DaemonId receiver;
    /// Number of the probe, echoed by the Ack.
    std::uint64_t probe = 0;
    /// PingRequest and Ack: the probed daemon.
    DaemonId target;
    ConfigStatus status;
    /// At most maxRecordsPerMessage.
    std::vector<MemberRecord> records;
    /// SyncRequest only: one number for each of the digestBuckets buckets.
    std::vector<std::uint32_t> digest;

    bool operator==(const GossipMessage &) const = default;
};

/// XXH3 128-bit digest of a published text.
struct TextDigest {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    bool operator==(const TextDigest &) const noexcept = default;
};

/// Kind of a ConfigMessage.
enum class ConfigKind : std::uint8_t {
    Announce, ///< The sender has the version in force.
    Fetch,    ///< Asks for chunks of the version.
    Chunk,    ///< One chunk of a body: of the whole text, or of a difference.
};

/// One message between the ConfigDistributors of two daemons.
struct ConfigMessage {
    ConfigKind kind = ConfigKind::Announce;
    DaemonId sender;
    ConfigKey key = ConfigKey::Configuration;
    ConfigVersion version;
    /// Announce, Chunk: digest of the whole text of the version.
    TextDigest digest;
    /// Fetch: the version that the sender has. Chunk: the version that the difference applies to; 0 if the body is the
    /// whole text.
    ConfigVersion base;
    /// Fetch: digest of the text of base.
    TextDigest baseDigest;
    /// Chunk: size of the whole body in bytes.
    std::uint32_t total = 0;
    /// Fetch: offset of the first requested byte in the body. Chunk: offset of `bytes` in the body.
    std::uint32_t offset = 0;
    /// Fetch: maximum number of chunks to send.
    std::uint32_t count = 0;
    /// Chunk: part of the body, at most maxChunkBytes.
    std::string bytes;

    bool operator==(const ConfigMessage &) const = default;
};

/// Carries evidence of requests that crash their servers.
struct CrashMessage {
    /// At most maxCrashEntriesPerMessage.
    std::vector<CrashEntry> entries;

    bool operator==(const CrashMessage &) const = default;
};

/// Carries what the sender has admitted of tenants with a quota.
struct QuotaMessage {
    QuotaReport report;

    bool operator==(const QuotaMessage &) const = default;
};

/// The message in one datagram.
using FleetMessage = std::variant<GossipMessage, ConfigMessage, CrashMessage, QuotaMessage>;

} // namespace sassafrasvane
