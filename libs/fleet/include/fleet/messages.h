#pragma once

#include "admission/crashbar.h"
#include "base/address.h"
#include "base/ids.h"
#include "base/time.h"

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

/// Largest datagram, in bytes: below the common path MTU of 1,280 with its headers.
constexpr std::size_t maxDatagramBytes = 1'200;

/// Longest name of a failure domain or a region in a record, in bytes.
constexpr std::size_t maxRecordNameBytes = 32;

/// Most records in one message; with the longest names they still fit a datagram.
constexpr std::size_t maxRecordsPerMessage = 7;

/// Buckets of the digest of a member table.
constexpr std::size_t digestBuckets = 64;

/// Most entries in one CrashMessage; they fit a datagram.
constexpr std::size_t maxCrashEntriesPerMessage = 32;

/// Most bytes of a published value in one ConfigMessage.
constexpr std::size_t maxChunkBytes = 1'000;

/// What the fleet believes of a member. At equal incarnation and sequence the later one supersedes the earlier.
enum class MemberState : std::uint8_t {
    Alive,
    Suspect, ///< A probe failed; dead if it is not refuted in time.
    Dead,
    Left, ///< Ended by a planned stop.
};

/// Stable lower-case name of \p state, for log lines and operators.
const char *name(MemberState state) noexcept;

/// What a member says of itself.
enum class MemberPhase : std::uint8_t {
    Serving,
    Leaving, ///< Takes no new work.
};

/// What is known of one member. Ordered by incarnation, then sequence, then state.
struct MemberRecord {
    DaemonId daemon;
    Incarnation incarnation;
    /// Raised by the member alone, to refute a suspicion or to change its phase.
    std::uint32_t sequence = 0;
    MemberState state = MemberState::Alive;
    MemberPhase phase = MemberPhase::Serving;
    /// Where it serves callers.
    Address callers;
    std::string failureDomain;
    std::string region;
    /// Processor share of its VM in hundredths of a core; 0 if it does not say.
    std::uint16_t capacity = 0;
    /// Who raised the suspicion; 0 if the state is Alive or Left.
    DaemonId accuser;

    bool operator==(const MemberRecord &) const = default;
};

/// True if \p first is newer than \p second.
bool supersedes(const MemberRecord &first, const MemberRecord &second) noexcept;

/// The published values that spread through the fleet.
enum class ConfigKey : std::uint8_t {
    Configuration,
    ShardMap,
    Vms,
};

/// Number of ConfigKey values.
constexpr std::size_t configKeyCount = 3;

/// The key as the platform's service calls it: "configuration", "shardmap" or "vms".
const char *name(ConfigKey key) noexcept;

/// What a daemon has in force, as it says in every GossipMessage.
struct ConfigStatus {
    /// Accepted version of each ConfigKey; 0 for none.
    std::array<ConfigVersion, configKeyCount> versions;
    /// Time since the service confirmed each version to any daemon that this one heard of, in milliseconds.
    std::array<std::uint32_t, configKeyCount> serviceAgeMs{UINT32_MAX, UINT32_MAX, UINT32_MAX};

    bool operator==(const ConfigStatus &) const = default;
};

/// Kind of a GossipMessage.
enum class GossipKind : std::uint8_t {
    Ping,        ///< Asks for an Ack.
    Ack,         ///< Answers a Ping, or a PingRequest on behalf of its target.
    PingRequest, ///< Asks for a Ping to the target on the sender's behalf.
    Notify,      ///< Only carries records.
    SyncRequest, ///< Carries the digest of the sender's table; asks for the records that differ.
    SyncRecords, ///< Answers a SyncRequest.
};

/// One membership message.
struct GossipMessage {
    GossipKind kind = GossipKind::Ping;
    /// The sender's own record.
    MemberRecord sender;
    /// For whom the message is.
    DaemonId receiver;
    /// Number of the probe, echoed by the Ack.
    std::uint64_t probe = 0;
    /// PingRequest and Ack: the daemon that is probed.
    DaemonId target;
    ConfigStatus status;
    /// At most maxRecordsPerMessage.
    std::vector<MemberRecord> records;
    /// SyncRequest only: digestBuckets numbers.
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
    Announce, ///< The sender has accepted the version.
    Fetch,    ///< Asks for chunks of the version.
    Chunk,    ///< One chunk of the version, whole or as a difference.
};

/// One message of the spread of published values.
struct ConfigMessage {
    ConfigKind kind = ConfigKind::Announce;
    DaemonId sender;
    ConfigKey key = ConfigKey::Configuration;
    ConfigVersion version;
    /// Digest of the whole text of the version (Announce, Chunk).
    TextDigest digest;
    /// Fetch: the version that the sender has. Chunk: the version that the difference applies to; 0 for a whole value.
    ConfigVersion base;
    /// Fetch: digest of the text of base.
    TextDigest baseDigest;
    /// Chunk: bytes of the body.
    std::uint32_t total = 0;
    /// Fetch: first byte wanted. Chunk: position of bytes in the body.
    std::uint32_t offset = 0;
    /// Fetch: most chunks wanted.
    std::uint32_t count = 0;
    /// Chunk: at most maxChunkBytes.
    std::string bytes;

    bool operator==(const ConfigMessage &) const = default;
};

/// Evidence of requests that crash their servers.
struct CrashMessage {
    /// At most maxCrashEntriesPerMessage.
    std::vector<CrashEntry> entries;

    bool operator==(const CrashMessage &) const = default;
};

/// What one datagram carries.
using FleetMessage = std::variant<GossipMessage, ConfigMessage, CrashMessage>;

} // namespace sassafrasvane
