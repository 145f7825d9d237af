#include "http/responsememory.h"

#include <algorithm>

namespace sassafrasvane::http
{

namespace
{

/// Responses up to this size, in bytes, are accepted as long as they fit into the available memory.
constexpr std::size_t smallResponseBytes = 65'536;

} // namespace

bool ResponseMemory::mayGrow(std::size_t used, std::size_t held, std::size_t wanted) const noexcept
{
    const std::size_t available = limit_ - std::min(limit_, used);
    const std::size_t largest = static_cast<std::size_t>(static_cast<double>(available) * maxShare_);
    return wanted - held <= available && wanted <= std::max(smallResponseBytes, largest);
}

bool ResponseMemory::resize(std::size_t held, std::size_t wanted) noexcept
{
    std::size_t used = used_;
    do {
        if (wanted > held && !mayGrow(used, held, wanted)) {
            ++refusals_;
            return false;
        }
    } while (!used_.compare_exchange_weak(used, used - held + wanted));
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
