#include "valuestore.h"

#include <algorithm>

namespace sassafrasvane
{

bool ValueStore::countCall(const std::string &peer)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const std::int64_t second
        = std::chrono::duration_cast<std::chrono::seconds>(BootClock::now().time_since_epoch()).count();
    if (second != second_) {
        second_ = second;
        callsInSecond_ = 0;
    }
    ++callsInSecond_;
    ++counts_.total;
    ++counts_.byPeer[peer];
    counts_.perSecondPeak = std::max(counts_.perSecondPeak, callsInSecond_);
    if (callsInSecond_ <= callsPerSecond_) {
        return true;
    }
    ++counts_.refused;
    return false;
}

std::optional<StoredValue> ValueStore::find(const std::string &key) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return findLocked(key);
}

std::optional<StoredValue> ValueStore::waitFor(const std::string &key, std::uint64_t after, Duration patience) const
{
    std::unique_lock<std::mutex> lock(mutex_);
    std::optional<StoredValue> found;
    const auto isNewer = [&] {
        found = findLocked(key);
        return faults_.isDown || (found && found->version > after);
    };
    if (!changed_.wait_for(lock, patience, isNewer) || faults_.isDown) {
        return std::nullopt;
    }
    return found;
}

std::uint64_t ValueStore::put(const std::string &key, nlohmann::json value, std::optional<std::uint64_t> version)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    StoredValue &stored = values_[key];
    stored.version = version.value_or(stored.version + 1);
    stored.value = std::move(value);
    changed_.notify_all();
    return stored.version;
}

void ValueStore::setFaults(const PlatformFaults &faults)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (faults.isStale && !faults_.isStale) {
        frozen_ = values_;
    }
    faults_ = faults;
    changed_.notify_all();
}

PlatformFaults ValueStore::faults() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return faults_;
}

CallCounts ValueStore::counts() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return counts_;
}

std::optional<StoredValue> ValueStore::findLocked(const std::string &key) const
{
    const std::map<std::string, StoredValue> &values = faults_.isStale ? frozen_ : values_;
    const auto found = values.find(key);
    return found == values.end() ? std::nullopt : std::optional<StoredValue>(found->second);
}

} // namespace sassafrasvane
