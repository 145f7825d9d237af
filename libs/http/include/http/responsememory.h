#pragma once

#include <cstddef>
#include <utility>

/// \file
/// Bounds the memory that responses take in one process.

namespace sassafrasvane::http
{

/// The memory for the bodies of responses, from their first byte until they have been passed on.
///
/// Servers may send bytes without end, and many of them at once. While little is held, a single response may grow
/// large; the less is left, the smaller a response may become, so that ordinary ones still find room.
///
/// \code
/// ResponseMemory memory(32 * 1'024 * 1'024);
/// MemoryLease lease(memory);
/// const bool isGranted = lease.resize(body.size());
/// \endcode
class ResponseMemory
{
public:
    /// \param limit most bytes that all responses may take together.
    explicit ResponseMemory(std::size_t limit) noexcept : limit_(limit) { }
    ResponseMemory(const ResponseMemory &) = delete;
    ResponseMemory &operator=(const ResponseMemory &) = delete;

    /// Changes what one response takes from \p held to \p wanted bytes. \return false if it may not grow so large.
    bool resize(std::size_t held, std::size_t wanted) noexcept;

    /// Bytes that are taken.
    std::size_t used() const noexcept { return used_; }

    /// Times that a response was not given more.
    std::size_t refusals() const noexcept { return refusals_; }

private:
    std::size_t limit_;
    std::size_t used_ = 0;
    std::size_t refusals_ = 0;
};

/// What one response takes of a ResponseMemory, which must outlive it. Given back when the lease ends.
class MemoryLease
{
public:
    MemoryLease() noexcept = default;
    explicit MemoryLease(ResponseMemory &memory) noexcept : memory_(&memory) { }
    MemoryLease(MemoryLease &&other) noexcept
        : memory_(std::exchange(other.memory_, nullptr)), held_(std::exchange(other.held_, 0))
    {
    }
    MemoryLease &operator=(MemoryLease &&other) noexcept;
    ~MemoryLease() { reset(); }

    /// Changes the size to \p wanted bytes. \return false, without a change, if the memory does not grant it.
    bool resize(std::size_t wanted) noexcept;

private:
    void reset() noexcept;

    ResponseMemory *memory_ = nullptr;
    std::size_t held_ = 0;
};

} // namespace sassafrasvane::http
