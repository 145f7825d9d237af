#include "headermemory.h"

namespace sassafrasvane::http::detail
{

std::size_t memoryOf(const Headers &headers) noexcept
{
    std::size_t size = 0;
    for (const Headers::value_type &field : headers) {
        size += fieldOverheadBytes + field.name_string().size() + field.value().size();
    }
    return size;
}

} // namespace sassafrasvane::http::detail
