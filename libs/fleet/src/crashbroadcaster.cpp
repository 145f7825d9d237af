#include "fleet/crashbroadcaster.h"

namespace sassafrasvane
{

void CrashBroadcaster::add(TimePoint now, std::span<const CrashEntry> entries)
{
    for (const CrashEntry &entry : entries) {
        pending_.push_back({entry, now, 0});
    }
}

std::vector<CrashEntry> CrashBroadcaster::due(TimePoint now)
{
    std::vector<CrashEntry> entries;
    for (PendingEntry &item : pending_) {
        if (now >= item.nextAt) {
            entries.push_back(item.entry);
            item.nextAt = now + resendInterval();
            ++item.sent;
        }
    }
    std::erase_if(pending_, [](const PendingEntry &item) { return item.sent >= maxSends(); });
    return entries;
}

} // namespace sassafrasvane
