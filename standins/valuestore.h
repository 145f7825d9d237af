#pragma once

#include "base/time.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>

/// \file
/// The values that the platform's stand-in serves, with its faults and its limit of calls.

namespace sassafrasvane
{

/// What the platform's stand-in does wrong.
struct PlatformFaults {
    /// Answers nothing but errors.
    bool isDown = false;
    /// Added to every call.
    Duration delay{0};
    /// Serves the values as they were when this was switched on.
    bool isStale = false;
};

/// A value with its version.
struct StoredValue {
    std::uint64_t version = 0;
    nlohmann::json value;
};

/// Counts of the calls so far.
struct CallCounts {
    std::uint64_t total = 0;
    std::uint64_t refused = 0;
    /// Most calls in one second, refused ones included.
    std::uint64_t perSecondPeak = 0;
    std::map<std::string, std::uint64_t> byPeer;
};

/// Versioned values to read and watch. Safe to use from many threads.
class ValueStore
{
public:
    /// \param callsPerSecond calls over this are refused.
    explicit ValueStore(std::uint64_t callsPerSecond) : callsPerSecond_(callsPerSecond) { }

    /// Counts a call of \p peer. \return false if it is over the limit.
    bool countCall(const std::string &peer);

    /// \return the value of \p key now, or nothing.
    std::optional<StoredValue> find(const std::string &key) const;

    /// Waits up to \p patience for a version of \p key above \p after. \return the value, or nothing.
    std::optional<StoredValue> waitFor(const std::string &key, std::uint64_t after, Duration patience) const;

    /// Publishes \p value under \p version, which may be below the present one; the next version if it is not given.
    /// \return the version.
    std::uint64_t put(const std::string &key, nlohmann::json value, std::optional<std::uint64_t> version);

    void setFaults(const PlatformFaults &faults);
    PlatformFaults faults() const;
    CallCounts counts() const;

private:
    std::optional<StoredValue> findLocked(const std::string &key) const;

    std::uint64_t callsPerSecond_;
    mutable std::mutex mutex_;
    mutable std::condition_variable changed_;
    std::map<std::string, StoredValue> values_;
    /// The values when the service went stale.
    std::map<std::string, StoredValue> frozen_;
    PlatformFaults faults_;
    CallCounts counts_;
    std::int64_t second_ = 0;
    std::uint64_t callsInSecond_ = 0;
};

} // namespace sassafrasvane
