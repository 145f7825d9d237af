#include "daemon/sharedcrashbar.h"

namespace sassafrasvane
{

SharedCrashBar::SharedCrashBar(std::uint64_t seed, ChangeHook onChange) : bar_(seed), onChange_(std::move(onChange))
{
}

// Makes the change and tells its result outside of the lock.
template<typename Change>
void SharedCrashBar::change(Change change)
{
    std::vector<CrashEntry> entries;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const std::uint64_t before = bar_.version();
        change(BootClock::now());
        if (bar_.version() != before) {
            entries = bar_.changes(BootClock::now(), before);
        }
    }
    if (!entries.empty()) {
        onChange_(std::move(entries));
    }
}

CrashVerdict SharedCrashBar::check(Fingerprint fingerprint) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return bar_.check(BootClock::now(), fingerprint);
}

bool SharedCrashBar::mayRunAlongside(Fingerprint fingerprint, std::span<const Fingerprint> running) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return bar_.mayRunAlongside(BootClock::now(), fingerprint, running);
}

void SharedCrashBar::onServerLost(SearcherId searcher, std::span<const Fingerprint> running)
{
    change([&](TimePoint now) { bar_.onServerLost(now, searcher, running); });
}

void SharedCrashBar::onSuccess(Fingerprint fingerprint)
{
    change([&](TimePoint now) { bar_.onSuccess(now, fingerprint); });
}

void SharedCrashBar::merge(std::span<const CrashEntry> entries)
{
    change([&](TimePoint now) {
        bar_.onTimer(now);
        bar_.merge(now, entries);
    });
}

std::size_t SharedCrashBar::size() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return bar_.size();
}

} // namespace sassafrasvane
