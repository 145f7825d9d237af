#pragma once

#include "admission/crashbar.h"
#include "http/message.h"
#include "observe/eventlog.h"

#include <functional>
#include <span>
#include <string_view>
#include <vector>

/// \file
/// Recognises requests that crash the searchers that run them.

namespace sassafrasvane
{

/// The fingerprint of what a searcher would be sent: method, host, target and body.
Fingerprint fingerprintOf(const http::Request &request);

/// Keeps the evidence against requests and tells the other entry VMs of it.
///
/// A request is suspected if searchers crash while they run it and none answers it. Equal requests are then refused at
/// all entry VMs for CrashBar::entryLifetime(). An answer of any searcher clears a request.
class CrashWatch
{
public:
    using SendEvidence = std::function<void(std::span<const CrashEntry> entries)>;

    /// \param seed makes the ids of this process's evidence unique.
    CrashWatch(std::uint64_t seed, EventLog &log);

    /// Sets what sends new evidence to the other entry VMs.
    void setSendEvidence(SendEvidence hook) { sendEvidence_ = std::move(hook); }

    /// True if equal requests have crashed searchers.
    bool isBarred(TimePoint now, Fingerprint fingerprint) const noexcept;

    /// A request has ended unanswered, and \p searchers searchers crashed while they ran it.
    void onRequestLost(TimePoint now, Fingerprint fingerprint, std::uint32_t searchers, std::string_view requestId);

    /// A searcher has answered the request.
    void onAnswered(TimePoint now, Fingerprint fingerprint);

    /// Takes evidence of another entry VM.
    void merge(TimePoint now, std::span<const CrashEntry> entries);

    /// All evidence, for an entry VM that has none.
    std::vector<CrashEntry> entries(TimePoint now) const;

    /// Drops expired evidence. To be called now and then.
    void onTick(TimePoint now);

    /// Requests with evidence against them.
    std::size_t suspectCount() const noexcept { return bar_.size(); }

private:
    CrashBar bar_;
    EventLog &log_;
    SendEvidence sendEvidence_;
};

} // namespace sassafrasvane
