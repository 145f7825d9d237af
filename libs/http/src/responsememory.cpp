#include "http/responsememory.h"

#include <algorithm>

namespace sassafrasvane::http
{

namespace
{

/// Size in bytes up to which a response is granted room as long as there is any.
constexpr std::size_t smallResponseBytes = 65'536;
/// A larger response may take one part in this many of what is left.
constexpr std::size_t freeMemoryDivisor = 8;

} // namespace

bool ResponseMemory::resize(std::size_t held, std::size_t wanted) noexcept
{
    if (wanted > held) {
        const std::size_t available = limit_ - std::min(limit_, used_);
        const bool isGranted
            = wanted - held <= available && wanted <= std::max(smallResponseBytes, available / freeMemoryDivisor);
        if (!isGranted) {
            ++refusals_;
            return false;
        }
    }
    used_ = used_ - held + wanted;
    return true;
}

MemoryLease &MemoryLease::operator=(MemoryLease &&other) noexcept
{
    if (this != &other) {
        reset();
        memory_ = std::exchange(other.memory_, nullptr);
        held_ = std::exchange(other.held_, 0);
    }
    return *this;
}

bool MemoryLease::resize(std::size_t wanted) noexcept
{
    if (memory_ == nullptr) {
        return true;
    }
    if (!memory_->resize(held_, wanted)) {
        return false;
    }
    held_ = wanted;
    return true;
}

void MemoryLease::reset() noexcept
{
    if (memory_ != nullptr) {
        memory_->resize(held_, 0);
    }
    memory_ = nullptr;
    held_ = 0;
}

} // namespace sassafrasvane::http
