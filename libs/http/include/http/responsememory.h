#pragma once

#include <atomic>
#include <cstddef>
#include <utility>

/// \file
/// Limits the memory that responses use in one process.

namespace sassafrasvane::http
{

/// Accounts for the memory of response bodies, from their first byte until they have been passed on.
///
/// Guards against servers that send endless responses, also many of them at the same time. The maximum size of a single
/// response shrinks with the memory that is still available, so that responses of ordinary size are still accepted.
/// Counts only; it allocates nothing itself. Any thread may use it.
///
/// \code
/// ResponseMemory memory(32 * 1'024 * 1'024);
/// MemoryLease lease(memory);
/// const bool isGranted = lease.resize(body.size());
/// \endcode
class ResponseMemory
{
public:
    /// \param limit maximum size of all responses together, in bytes.
    /// \param maxShare the share of the available memory that a single response may have, if it isn't small.
    explicit ResponseMemory(std::size_t limit, double maxShare = defaultMaxShare()) noexcept
        : limit_(limit), maxShare_(maxShare)
    {
    }
    ResponseMemory(const ResponseMemory &) = delete;
    ResponseMemory &operator=(const ResponseMemory &) = delete;

    static constexpr double defaultMaxShare() noexcept { return 0.125; }

    /// Changes the reservation of one response from \p held to \p wanted bytes.
    /// \return false, without a change, if the response may not grow to that size. Shrinking always succeeds.
    bool resize(std::size_t held, std::size_t wanted) noexcept;

    /// Bytes that are reserved by all responses.
    std::size_t used() const noexcept { return used_; }

    /// Number of connections that read responses and have not been destroyed, whoever holds them.
    std::size_t readers() const noexcept { return readers_; }
    void addReader() noexcept { ++readers_; }
    void removeReader() noexcept { --readers_; }

    /// Number of times that a response was denied more memory.
    std::size_t refusals() const noexcept { return refusals_; }

private:
    bool mayGrow(std::size_t used, std::size_t held, std::size_t wanted) const noexcept;

    std::size_t limit_;
    double maxShare_;
    std::atomic<std::size_t> used_{0};
    std::atomic<std::size_t> refusals_{0};
    std::atomic<std::size_t> readers_{0};
};

/// The reservation of one response in a ResponseMemory, which must outlive it. Released by the destructor.
///
/// A lease without a ResponseMemory grants any size.
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

    /// Changes the reservation to \p wanted bytes. \return false, without a change, if that much is not available.
    bool resize(std::size_t wanted) noexcept;

private:
    void reset() noexcept;

    ResponseMemory *memory_ = nullptr;
    std::size_t held_ = 0;
};

} // namespace sassafrasvane::http
