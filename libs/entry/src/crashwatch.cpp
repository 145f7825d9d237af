#include "entry/crashwatch.h"

#include "base/random.h"

namespace sassafrasvane
{

Fingerprint fingerprintOf(const http::Request &request)
{
    const std::uint64_t target
        = mix(hashBytes(http::fromView(request.method_string())),
              mix(hashBytes(http::headerOf(request, "Host")), hashBytes(http::fromView(request.target()))));
    return Fingerprint{mix(target, hashBytes(request.body()))};
}

CrashWatch::CrashWatch(std::uint64_t seed, EventLog &log) : bar_(seed), log_(log)
{
}

bool CrashWatch::isBarred(TimePoint now, Fingerprint fingerprint) const noexcept
{
    return bar_.check(now, fingerprint) == CrashVerdict::Barred;
}

void CrashWatch::onRequestLost(TimePoint now,
                               Fingerprint fingerprint,
                               std::uint32_t searchers,
                               TimePoint crashedAt,
                               std::string_view requestId)
{
    const std::vector<CrashEntry> added = bar_.onRequestLost(now, fingerprint, searchers, crashedAt);
    log_.line(EventRank::Important, "request_crashed_searchers")
        .text("request", requestId)
        .count("fingerprint", fingerprint.value)
        .count("searchers", searchers)
        .count("evidence", added.size())
        .flag("barred", isBarred(now, fingerprint));
    if (broadcastEvidence_) {
        broadcastEvidence_(added);
    }
}

void CrashWatch::onAnswered(TimePoint now, Fingerprint fingerprint)
{
    const std::uint64_t versionBefore = bar_.version();
    bar_.onSuccess(now, fingerprint);
    if (bar_.version() == versionBefore) {
        return;
    }
    log_.line(EventRank::Important, "request_cleared").count("fingerprint", fingerprint.value);
    if (broadcastEvidence_) {
        broadcastEvidence_(bar_.changes(now, versionBefore));
    }
}

void CrashWatch::merge(TimePoint now, std::span<const CrashEntry> entries)
{
    if (bar_.merge(now, entries)) {
        log_.line(EventRank::Important, "crash_evidence_received")
            .count("entries", entries.size())
            .count("suspects", bar_.size());
    }
}

std::vector<CrashEntry> CrashWatch::entries(TimePoint now) const
{
    return bar_.changes(now, 0);
}

void CrashWatch::onTick(TimePoint now)
{
    bar_.onTimer(now);
}

} // namespace sassafrasvane
