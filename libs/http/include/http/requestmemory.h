#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <span>
#include <unordered_set>

/// \file
/// Limits the memory and the connections that the clients of one process use.

namespace sassafrasvane::http
{

/// Why the connection of a client is closed.
enum class ShedReason {
    Memory,      ///< To free memory for other requests.
    Connections, ///< To make room for another connection.
};

/// A connection that RequestMemory can close.
class RequestHolder
{
public:
    RequestHolder() = default;
    RequestHolder(const RequestHolder &) = delete;
    RequestHolder &operator=(const RequestHolder &) = delete;

    /// Bytes that are reserved for the connection.
    virtual std::size_t heldBytes() const noexcept = 0;

    /// When the client last sent or took bytes. Nothing while its request is being handled: it may have run.
    virtual std::optional<TimePoint> waitingSince() const noexcept = 0;

    /// True if a request of this connection has been answered.
    virtual bool hasBeenServed() const noexcept = 0;

    /// Closes the connection and frees what it holds. A request that is not complete has not run.
    virtual void shed(ShedReason reason) = 0;

protected:
    ~RequestHolder() = default;
};

/// Limits on all clients of a process together.
struct RequestMemoryLimits {
    /// Maximum size of requests, bytes read ahead and answers that are not read yet, in bytes.
    std::size_t bytes = std::numeric_limits<std::size_t>::max();
    /// Maximum number of connections; Server keeps some of its own beyond it (ServerLimits::reservedConnections).
    std::size_t connections = std::numeric_limits<std::size_t>::max();
};

/// Event counts since the start.
struct RequestMemoryCounters {
    /// Requests that were denied memory.
    std::uint64_t refusals = 0;
    /// Connections that were closed to free memory.
    std::uint64_t shedForMemory = 0;
    /// Connections that were closed to make room for another one.
    std::uint64_t shedForConnections = 0;
};

/// Accounts for what the requests of all listeners hold, from their first byte until it is freed.
///
/// Guards against many clients at once that each stay inside the limits of a single request. If a request does not fit,
/// the connection that holds the most for the longest without progress is closed first; if none is waiting for its
/// client, the new request is denied. Large requests leave a part of the memory to small ones. Counts only; it has no
/// clock or socket.
///
/// \code
/// const std::shared_ptr<RequestMemory> memory = std::make_shared<RequestMemory>(RequestMemoryLimits{bytes, 2'000});
/// RequestLease lease(memory);
/// const bool isGranted = lease.resize(now, size);
/// \endcode
class RequestMemory
{
public:
    /// Requests up to this size, in bytes, may use all of the memory, larger ones only largeShare() of it.
    static constexpr std::size_t smallBytes() noexcept { return 32'768; }
    static constexpr double largeShare() noexcept { return 0.75; }
    /// A connection that holds less is not closed to free memory: that would close many idle ones to little effect.
    static constexpr std::size_t minShedBytes() noexcept { return 4'096; }
    /// A connection is not closed to free memory before it has made no progress for this long: a client that is served
    /// on time sends the next bytes sooner.
    static constexpr Duration minMemoryWait() noexcept { return std::chrono::milliseconds(100); }
    /// The same for making room for a connection. Longer, because a client may be slow to send its first request.
    static constexpr Duration minConnectionWait() noexcept { return std::chrono::milliseconds(500); }

    explicit RequestMemory(const RequestMemoryLimits &limits) noexcept : limits_(limits) { }

    /// Changes a reservation from \p held to \p wanted bytes, and closes connections other than \p requester if that
    /// is needed. \return false, without a change, if it may not grow to that size. Shrinking always succeeds.
    bool resize(TimePoint now, std::size_t held, std::size_t wanted, const RequestHolder *requester);

    /// As resize(), but always succeeds: for what has to be kept in any case, such as an answer.
    void charge(TimePoint now, std::size_t held, std::size_t wanted, const RequestHolder *requester);

    /// True if another connection may be opened, if need be after one that waits for its client has been closed.
    bool makeRoomForConnection(TimePoint now);

    /// Closes the one of \p holders that has waited for its client for the longest, those on which no request has been
    /// answered first. \return false if none has waited for minConnectionWait().
    bool shedLongestWaiting(TimePoint now, std::span<RequestHolder *const> holders);

    void add(RequestHolder &holder) { holders_.insert(&holder); }
    void remove(RequestHolder &holder) { holders_.erase(&holder); }

    std::size_t used() const noexcept { return used_; }
    std::size_t connections() const noexcept { return holders_.size(); }
    const RequestMemoryCounters &counters() const noexcept { return counters_; }
    const RequestMemoryLimits &limits() const noexcept { return limits_; }

private:
    bool fits(std::size_t held, std::size_t wanted) const noexcept;
    bool shedLargestWaiting(TimePoint now, const RequestHolder *requester);

    RequestMemoryLimits limits_;
    std::size_t used_ = 0;
    std::unordered_set<RequestHolder *> holders_;
    RequestMemoryCounters counters_;
};

/// A reservation in a RequestMemory. Released by the destructor. Without a RequestMemory it grants any size.
class RequestLease
{
public:
    RequestLease() noexcept = default;
    explicit RequestLease(std::shared_ptr<RequestMemory> memory) noexcept : memory_(std::move(memory)) { }
    RequestLease(RequestLease &&other) noexcept;
    RequestLease &operator=(RequestLease &&other) noexcept;
    ~RequestLease() { release(); }

    /// Changes the reservation to \p wanted bytes. \return false, without a change, if that much is not available.
    bool resize(TimePoint now, std::size_t wanted, const RequestHolder *requester = nullptr);

    /// Changes the reservation to \p wanted bytes in any case.
    void charge(TimePoint now, std::size_t wanted, const RequestHolder *requester = nullptr);

    /// Moves up to \p size bytes of the reservation to a new lease.
    RequestLease split(std::size_t size);

    std::size_t held() const noexcept { return held_; }

private:
    void release() noexcept;

    std::shared_ptr<RequestMemory> memory_;
    std::size_t held_ = 0;
};

} // namespace sassafrasvane::http
