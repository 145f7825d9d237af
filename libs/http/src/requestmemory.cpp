#include "http/requestmemory.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace sassafrasvane::http
{

bool RequestMemory::fits(std::size_t held, std::size_t wanted) const noexcept
{
    const std::size_t limit = wanted <= smallBytes()
        ? limits_.bytes
        : static_cast<std::size_t>(static_cast<double>(limits_.bytes) * largeShare());
    const std::size_t others = used_ - held;
    return others <= limit && wanted <= limit - others;
}

bool RequestMemory::resize(TimePoint now, std::size_t held, std::size_t wanted, const RequestHolder *requester)
{
    if (wanted > held) {
        while (!fits(held, wanted)) {
            if (!shedLargestWaiting(now, requester)) {
                ++counters_.refusals;
                return false;
            }
        }
    }
    used_ = used_ - held + wanted;
    return true;
}

void RequestMemory::charge(TimePoint now, std::size_t held, std::size_t wanted, const RequestHolder *requester)
{
    if (wanted > held) {
        while (!fits(held, wanted) && shedLargestWaiting(now, requester)) {
        }
    }
    used_ = used_ - held + wanted;
}

// The product of size and time lets a large request wait for a short time and a small one for a long time.
bool RequestMemory::shedLargestWaiting(TimePoint now, const RequestHolder *requester)
{
    RequestHolder *largest = nullptr;
    double most = 0;
    for (RequestHolder *holder : holders_) {
        const std::optional<TimePoint> since = holder->waitingSince();
        if (holder == requester || holder->heldBytes() < minShedBytes() || !since || now - *since < minMemoryWait()) {
            continue;
        }
        const double product = static_cast<double>(holder->heldBytes()) * toMilliseconds(now - *since);
        if (product > most) {
            most = product;
            largest = holder;
        }
    }
    if (largest == nullptr) {
        return false;
    }
    const std::size_t before = used_;
    ++counters_.shedForMemory;
    largest->shed(ShedReason::Memory);
    return used_ < before;
}

bool RequestMemory::makeRoomForConnection(TimePoint now)
{
    if (holders_.size() < limits_.connections) {
        return true;
    }
    const std::vector<RequestHolder *> holders(holders_.begin(), holders_.end());
    return shedLongestWaiting(now, holders) && holders_.size() < limits_.connections;
}

bool RequestMemory::shedLongestWaiting(TimePoint now, std::span<RequestHolder *const> holders)
{
    RequestHolder *longest = nullptr;
    std::pair<bool, TimePoint> first;
    for (RequestHolder *holder : holders) {
        const std::optional<TimePoint> since = holder->waitingSince();
        if (!since || now - *since < minConnectionWait()) {
            continue;
        }
        const std::pair<bool, TimePoint> rank(holder->hasBeenServed(), *since);
        if (longest == nullptr || rank < first) {
            first = rank;
            longest = holder;
        }
    }
    if (longest == nullptr) {
        return false;
    }
    ++counters_.shedForConnections;
    longest->shed(ShedReason::Connections);
    return true;
}

RequestLease::RequestLease(RequestLease &&other) noexcept
    : memory_(std::move(other.memory_)), held_(std::exchange(other.held_, 0))
{
}

RequestLease &RequestLease::operator=(RequestLease &&other) noexcept
{
    if (this != &other) {
        release();
        memory_ = std::move(other.memory_);
        held_ = std::exchange(other.held_, 0);
    }
    return *this;
}

bool RequestLease::resize(TimePoint now, std::size_t wanted, const RequestHolder *requester)
{
    if (memory_ && !memory_->resize(now, held_, wanted, requester)) {
        return false;
    }
    held_ = wanted;
    return true;
}

void RequestLease::charge(TimePoint now, std::size_t wanted, const RequestHolder *requester)
{
    if (memory_) {
        memory_->charge(now, held_, wanted, requester);
    }
    held_ = wanted;
}

RequestLease RequestLease::split(std::size_t size)
{
    RequestLease part(memory_);
    part.held_ = std::min(size, held_);
    held_ -= part.held_;
    return part;
}

void RequestLease::release() noexcept
{
    if (memory_) {
        memory_->resize(TimePoint(), held_, 0, nullptr);
    }
    held_ = 0;
}

} // namespace sassafrasvane::http
