#include "fleet/crashspread.h"

namespace sassafrasvane
{

void CrashSpread::add(TimePoint now, std::span<const CrashEntry> entries)
{
    for (const CrashEntry &entry : entries) {
        items_.push_back({entry, now, 0});
    }
}

std::vector<CrashEntry> CrashSpread::due(TimePoint now)
{
    std::vector<CrashEntry> entries;
    for (Item &item : items_) {
        if (now >= item.nextAt) {
            entries.push_back(item.entry);
            item.nextAt = now + pause();
            ++item.sent;
        }
    }
    std::erase_if(items_, [](const Item &item) { return item.sent >= sends(); });
    return entries;
}

} // namespace sassafrasvane
