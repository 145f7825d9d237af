#pragma once

#include "admission/crashbar.h"
#include "http/message.h"
#include "observe/eventlog.h"

#include <functional>
#include <span>
#include <string_view>
#include <vector>

/// \file
/// Detects requests that crash the searchers that run them.

namespace sassafrasvane
{

/// Hashes the parts of a request that reach the searcher: method, Host header, target and body.
Fingerprint fingerprintOf(const http::Request &request);

/// Tracks which requests crashed searchers and shares this evidence with the other entry VMs.
///
/// A request becomes suspect if searchers crash while running it and none answers it. With enough evidence, all entry
/// VMs refuse equal requests until the evidence expires after CrashBar::entryLifetime(). An answer from any searcher
/// clears a request.
class CrashWatch
{
public:
    using BroadcastEvidence = std::function<void(std::span<const CrashEntry> entries)>;

    /// \param seed makes the evidence ids of this process unique.
    CrashWatch(std::uint64_t seed, EventLog &log);

    /// Sets the callback that sends new evidence to the other entry VMs.
    void setBroadcastEvidence(BroadcastEvidence hook) { broadcastEvidence_ = std::move(hook); }

    /// True if requests with \p fingerprint are refused because they crashed searchers.
    bool isBarred(TimePoint now, Fingerprint fingerprint) const noexcept;

    /// Records that a request ended unanswered after \p searchers searchers crashed while running it, the last of them
    /// at \p crashedAt.
    void onRequestLost(TimePoint now,
                       Fingerprint fingerprint,
                       std::uint32_t searchers,
                       TimePoint crashedAt,
                       std::string_view requestId);

    /// Records that a searcher answered the request, which clears it.
    void onAnswered(TimePoint now, Fingerprint fingerprint);

    /// Adds evidence received from another entry VM.
    void merge(TimePoint now, std::span<const CrashEntry> entries);

    /// All evidence, to be sent to an entry VM that has none yet.
    std::vector<CrashEntry> entries(TimePoint now) const;

    /// Removes expired evidence. Must be called periodically.
    void onTick(TimePoint now);

    /// Number of requests that have evidence against them.
    std::size_t suspectCount() const noexcept { return bar_.size(); }

private:
    CrashBar bar_;
    EventLog &log_;
    BroadcastEvidence broadcastEvidence_;
};

} // namespace sassafrasvane
