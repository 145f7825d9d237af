#include "messageformat.h"

#include <algorithm>

namespace sassafrasvane::detail
{

namespace
{

/// Reads an enumerator; \p last is the highest valid one.
template<typename Enum>
Enum readEnum(DatagramReader &reader, Enum last)
{
    return static_cast<Enum>(reader.number(static_cast<std::uint64_t>(last)));
}

void writeAddress(DatagramWriter &writer, const Address &address)
{
    writer.number(address.ip);
    writer.number(address.port);
}

Address readAddress(DatagramReader &reader)
{
    Address address;
    address.ip = static_cast<std::uint32_t>(reader.number(UINT32_MAX));
    address.port = static_cast<std::uint16_t>(reader.number(UINT16_MAX));
    return address;
}

/// Writes all fields of a record except its daemon and incarnation.
void writeAttributes(DatagramWriter &writer, const MemberRecord &record)
{
    writer.number(record.sequence);
    writer.number(static_cast<std::uint64_t>(record.state));
    writer.number(static_cast<std::uint64_t>(record.phase));
    writeAddress(writer, record.callerAddress);
    writer.bytes(record.failureDomain);
    writer.bytes(record.region);
    writer.number(record.capacity);
    writer.number(record.suspectedBy.value);
}

void readAttributes(DatagramReader &reader, MemberRecord &record)
{
    record.sequence = static_cast<std::uint32_t>(reader.number(UINT32_MAX));
    record.state = readEnum(reader, MemberState::Left);
    record.phase = readEnum(reader, MemberPhase::Leaving);
    record.callerAddress = readAddress(reader);
    record.failureDomain = reader.bytes(maxRecordNameBytes);
    record.region = reader.bytes(maxRecordNameBytes);
    record.capacity = static_cast<std::uint16_t>(reader.number(UINT16_MAX));
    record.suspectedBy = DaemonId{reader.number()};
}

void writeRecord(DatagramWriter &writer, const MemberRecord &record)
{
    writer.number(record.daemon.value);
    writer.number(record.incarnation.value);
    writeAttributes(writer, record);
}

MemberRecord readRecord(DatagramReader &reader)
{
    MemberRecord record;
    record.daemon = DaemonId{reader.number()};
    record.incarnation = Incarnation{reader.number()};
    readAttributes(reader, record);
    return record;
}

void writeDigest(DatagramWriter &writer, const TextDigest &digest)
{
    writer.number(digest.high);
    writer.number(digest.low);
}

TextDigest readDigest(DatagramReader &reader)
{
    TextDigest digest;
    digest.high = reader.number();
    digest.low = reader.number();
    return digest;
}

} // namespace

void write(DatagramWriter &writer, const GossipMessage &message)
{
    writer.number(static_cast<std::uint64_t>(message.kind));
    writeAttributes(writer, message.sender);
    writer.number(message.probe);
    writer.number(message.target.value);
    for (const ConfigVersion version : message.status.versions) {
        writer.number(version.value);
    }
    for (const std::uint32_t age : message.status.serviceAgeMs) {
        writer.number(age);
    }
    writer.number(message.records.size());
    for (const MemberRecord &record : message.records) {
        writeRecord(writer, record);
    }
    writer.number(message.digest.size());
    for (const std::uint32_t bucket : message.digest) {
        writer.number(bucket);
    }
}

void read(DatagramReader &reader, GossipMessage &message)
{
    message.kind = readEnum(reader, GossipKind::SyncRecords);
    readAttributes(reader, message.sender);
    message.probe = reader.number();
    message.target = DaemonId{reader.number()};
    for (ConfigVersion &version : message.status.versions) {
        version = ConfigVersion{reader.number()};
    }
    for (std::uint32_t &age : message.status.serviceAgeMs) {
        age = static_cast<std::uint32_t>(reader.number(UINT32_MAX));
    }
    // Grows with the records read. Memory is never reserved by a count that the datagram merely claims.
    for (std::uint64_t left = reader.number(maxRecordsPerMessage); left > 0 && reader.isGood(); --left) {
        message.records.push_back(readRecord(reader));
    }
    for (std::uint64_t left = reader.number(digestBuckets); left > 0 && reader.isGood(); --left) {
        message.digest.push_back(static_cast<std::uint32_t>(reader.number(UINT32_MAX)));
    }
}

void write(DatagramWriter &writer, const ConfigMessage &message)
{
    writer.number(static_cast<std::uint64_t>(message.kind));
    writer.number(static_cast<std::uint64_t>(message.key));
    writer.number(message.version.value);
    writeDigest(writer, message.digest);
    writer.number(message.base.value);
    writeDigest(writer, message.baseDigest);
    writer.number(message.total);
    writer.number(message.offset);
    writer.number(message.count);
    writer.bytes(message.bytes);
}

void read(DatagramReader &reader, ConfigMessage &message)
{
    message.kind = readEnum(reader, ConfigKind::Chunk);
    message.key = readEnum(reader, ConfigKey::Vms);
    message.version = ConfigVersion{reader.number()};
    message.digest = readDigest(reader);
    message.base = ConfigVersion{reader.number()};
    message.baseDigest = readDigest(reader);
    message.total = static_cast<std::uint32_t>(reader.number(UINT32_MAX));
    message.offset = static_cast<std::uint32_t>(reader.number(UINT32_MAX));
    message.count = static_cast<std::uint32_t>(reader.number(UINT32_MAX));
    message.bytes = reader.bytes(maxChunkBytes);
}

void write(DatagramWriter &writer, const CrashMessage &message)
{
    writer.number(message.entries.size());
    for (const CrashEntry &entry : message.entries) {
        writer.number(entry.fingerprint.value);
        writer.number(entry.event);
        writer.number(entry.isStrong ? 1 : 0);
        writer.number(entry.isCleared ? 1 : 0);
        writer.number(static_cast<std::uint64_t>(std::max(0.0, toMilliseconds(entry.timeLeft))));
    }
}

void read(DatagramReader &reader, CrashMessage &message)
{
    for (std::uint64_t left = reader.number(maxCrashEntriesPerMessage); left > 0 && reader.isGood(); --left) {
        CrashEntry &entry = message.entries.emplace_back();
        entry.fingerprint = Fingerprint{reader.number()};
        entry.event = reader.number();
        entry.isStrong = reader.number(1) == 1;
        entry.isCleared = reader.number(1) == 1;
        entry.timeLeft = std::chrono::milliseconds(reader.number(UINT32_MAX));
    }
}

void write(DatagramWriter &writer, const QuotaMessage &message)
{
    const QuotaReport &report = message.report;
    writer.number(report.run);
    writer.number(report.sequence);
    writer.number(report.partPermille);
    writer.number(report.participants);
    writer.number(report.needsLevels ? 1 : 0);
    writer.number(report.entries.size());
    for (const QuotaEntry &entry : report.entries) {
        writer.number(entry.tenant);
        writer.number(entry.count);
        writer.number(entry.demandHundredths);
        writer.number(entry.totalDemandHundredths);
        writer.number(entry.levelHundredths);
    }
}

void read(DatagramReader &reader, QuotaMessage &message)
{
    QuotaReport &report = message.report;
    report.run = reader.number();
    report.sequence = reader.number();
    report.partPermille = static_cast<std::uint32_t>(reader.number(wholeQuotaPermille));
    report.participants = static_cast<std::uint32_t>(reader.number(UINT32_MAX));
    report.needsLevels = reader.number(1) == 1;
    for (std::uint64_t left = reader.number(maxEntriesPerQuotaReport); left > 0 && reader.isGood(); --left) {
        QuotaEntry &entry = report.entries.emplace_back();
        entry.tenant = reader.number();
        entry.count = reader.number();
        entry.demandHundredths = static_cast<std::uint32_t>(reader.number(UINT32_MAX));
        entry.totalDemandHundredths = static_cast<std::uint32_t>(reader.number(UINT32_MAX));
        entry.levelHundredths = static_cast<std::uint32_t>(reader.number(UINT32_MAX));
    }
}

} // namespace sassafrasvane::detail
