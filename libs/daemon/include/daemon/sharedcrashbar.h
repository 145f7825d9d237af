#pragma once

#include "admission/crashbar.h"

#include <functional>
#include <mutex>
#include <span>
#include <vector>

/// \file
/// The bar for requests that crash their servers, as the tasks of a daemon share it.

namespace sassafrasvane
{

/// A CrashBar that any task may use. Its state is small and its steps are short, so a mutex serves better than
/// messages: the verdict is needed at the moment of sending.
///
/// \code
/// SharedCrashBar crashes(seed, [](std::vector<CrashEntry> entries) { ... });
/// const CrashVerdict verdict = crashes.check(fingerprint);
/// \endcode
class SharedCrashBar
{
public:
    /// Called with entries that other daemons should know, on the thread that changed them.
    using ChangeHook = std::function<void(std::vector<CrashEntry> entries)>;

    /// \param seed differs between all daemons and their lives.
    SharedCrashBar(std::uint64_t seed, ChangeHook onChange);

    /// See CrashBar::check().
    CrashVerdict check(Fingerprint fingerprint) const;

    /// See CrashBar::mayRunAlongside().
    bool mayRunAlongside(Fingerprint fingerprint, std::span<const Fingerprint> running) const;

    /// See CrashBar::onServerLost().
    void onServerLost(SearcherId searcher, std::span<const Fingerprint> running);

    /// See CrashBar::onSuccess().
    void onSuccess(Fingerprint fingerprint);

    /// Takes another daemon's entries; what is new in them is passed on.
    void merge(std::span<const CrashEntry> entries);

    /// Fingerprints with evidence.
    std::size_t size() const;

private:
    template<typename Change>
    void change(Change change);

    mutable std::mutex mutex_;
    CrashBar bar_;
    ChangeHook onChange_;
};

} // namespace sassafrasvane
