#include "gather/recordmerge.h"

#include <algorithm>
#include <vector>

namespace sassafrasvane
{

std::string mergeRecords(std::span<const std::string_view> parts, std::size_t count)
{
    std::vector<std::string_view> records;
    for (const std::string_view part : parts) {
        for (std::size_t begin = 0; begin + recordBytes <= part.size(); begin += recordBytes) {
            records.push_back(part.substr(begin, recordBytes));
        }
    }
    const std::size_t kept = std::min(count, records.size());
    // string_view compares as unsigned bytes.
    std::partial_sort(records.begin(),
                      records.begin() + static_cast<std::ptrdiff_t>(kept),
                      records.end(),
                      std::greater<std::string_view>());
    std::string merged;
    merged.reserve(kept * recordBytes);
    for (std::size_t i = 0; i < kept; ++i) {
        merged.append(records[i]);
    }
    return merged;
}

} // namespace sassafrasvane
