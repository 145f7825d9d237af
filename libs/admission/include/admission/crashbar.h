#pragma once

#include "admission/fingerprintcache.h"
#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

/// \file
/// Limits how many servers one request can crash.

namespace sassafrasvane
{

/// Decision on whether and how a request may run.
enum class CrashVerdict {
    Run,        ///< It has succeeded recently and may be sent to all servers at once.
    ProbeFirst, ///< Nothing is known about it: send it to its probe server only, and to the others after a success.
    Suspect,    ///< As ProbeFirst, but never hedged or retried; a refusal by the probe server's holder is final.
    Wait,       ///< Refuse it: its last crash is too recent.
    Barred,     ///< Refuse it: it has crashed servers.
};

/// A crash during which a request was running, as the daemons exchange it.
struct CrashEntry {
    Fingerprint fingerprint;
    /// Identifies one daemon's observation of the crash.
    std::uint64_t event = 0;
    /// The request was the likely cause: it was the only candidate at the server.
    bool isStrong = false;
    /// The request has succeeded since.
    bool isCleared = false;
    /// Time until the entry expires. It is relative, as the daemons' clocks differ.
    Duration timeLeft{0};

    bool operator==(const CrashEntry &) const = default;
};

/// Tracks requests that crash their servers, by fingerprint, and refuses (bars) them. A fingerprint covers the index
/// version, as a request that is harmless on one version may crash the next.
///
/// A request about which nothing is known goes to one server first, its probe server, and to the others after that
/// server has answered (the canary request of Dean and Barroso, "The tail at scale", 2013). The fingerprint determines
/// the probe server, so all daemons send the request through the same holder: the daemon that holds the connections to
/// that server. The holder sees the crash and can refuse the next attempt without a message from another daemon. It
/// runs at most one suspect at a server at a time.
///
/// A crash is strong evidence against a request that was the only candidate for its cause, and weak evidence against
/// the other requests that ran there. The candidates are the suspects that ran there or, if there were none, the
/// requests without a known success. Any evidence makes a request a suspect, two strong crashes bar it, and a success
/// clears it. Weak evidence alone never bars a request: neither a harmless request that ran beside a crashing one nor
/// one on a server that fails by itself is barred. When several servers are lost at once, the likely cause is the
/// network or a failure domain, so the evidence is weak.
///
/// Guarantee: a request that crashes every server that runs it crashes at most crashesToBar() servers at its probe
/// server's holder within entryLifetime(), regardless of the number of daemons and of the caller's retries. If the
/// holder loses its state before the entries have spread (by a restart, or by a table or partition that gives the probe
/// server another holder), the request may crash as many servers again. Each simultaneous loss of several servers may
/// add one more.
///
/// \code
/// const CrashVerdict verdict = bar.check(now, fingerprint);
/// const std::optional<SearcherId> probe = CrashBar::probeServer(fingerprint, candidates);
/// bar.onServerLost(now, probe, running);
/// \endcode
class CrashBar
{
public:
    /// Maximum number of servers that one request crashes at one holder: one crash with several candidates, then two
    /// strong ones.
    static constexpr std::uint32_t crashesToBar() noexcept { return 3; }

    /// Strong crashes that bar a request.
    static constexpr std::uint32_t strongCrashesToBar() noexcept { return 2; }

    /// Time for which evidence counts and thus a request stays barred.
    static constexpr Duration entryLifetime() noexcept { return std::chrono::minutes(10); }

    /// Time after a success during which a request needs no probe.
    static constexpr Duration successLifetime() noexcept { return std::chrono::minutes(10); }

    /// Time for which a suspect is refused after a crash. Losses within this time count as one crash that was seen on
    /// several connections.
    static constexpr Duration suspectPause() noexcept { return std::chrono::seconds(1); }

    /// Maximum number of fingerprints with evidence; those with the weakest evidence are dropped first.
    static constexpr std::size_t maxSuspects() noexcept { return 1024; }

    /// \param seed makes the ids of this daemon's events unique; for example the daemon's id mixed with its
    /// incarnation.
    explicit CrashBar(std::uint64_t seed);

    /// Returns whether and how a request may run now. Called by the daemon that receives the request, and again by the
    /// holder before it sends the probe.
    CrashVerdict check(TimePoint now, Fingerprint fingerprint) const noexcept;

    /// True if the holder may send \p fingerprint to a server that runs \p running. Two suspects never run at one
    /// server at the same time, so that a crash has one candidate.
    bool mayRunAlongside(TimePoint now, Fingerprint fingerprint, std::span<const Fingerprint> running) const noexcept;

    /// The probe server among \p candidates, the same at all daemons; std::nullopt if \p candidates is empty.
    static std::optional<SearcherId> probeServer(Fingerprint fingerprint,
                                                 std::span<const SearcherId> candidates) noexcept;

    /// Records that a connection to a server broke while calls were in flight. \param running the fingerprints of all
    /// calls that this daemon had in flight at the server, on any connection.
    void onServerLost(TimePoint now, SearcherId searcher, std::span<const Fingerprint> running);

    /// Records that a request ended without an answer after \p servers servers were lost while they ran it. A request
    /// over many shards runs at many servers at once, so their simultaneous loss is strong evidence if the request has
    /// no known success. If it has one, the servers may have been lost for another reason; when the request loses
    /// servers again suspectPause() later or more, without a success in between, this is strong evidence, too.
    /// \param lostAt when the last of these servers was lost. \return the new evidence, for other daemons.
    std::vector<CrashEntry> onRequestLost(TimePoint now,
                                          Fingerprint fingerprint,
                                          std::uint32_t servers,
                                          TimePoint lostAt);

    /// Records that a server answered the request. This clears its evidence, as it does not crash every server.
    void onSuccess(TimePoint now, Fingerprint fingerprint) noexcept;

    /// Increases with each change of the entries.
    std::uint64_t version() const noexcept { return version_; }

    /// The entries that changed after version \p since, for other daemons.
    std::vector<CrashEntry> changes(TimePoint now, std::uint64_t since) const;

    /// Merges entries of another daemon. Merging is commutative and idempotent. \return true if an entry was new or
    /// changed a known one.
    bool merge(TimePoint now, std::span<const CrashEntry> entries);

    /// Drops expired entries.
    void onTimer(TimePoint now);

    /// Number of fingerprints with evidence.
    std::size_t size() const noexcept { return suspects_.size(); }

private:
    struct Event {
        std::uint64_t id = 0;
        bool isStrong = false;
        bool isCleared = false;
        TimePoint expiresAt;
        /// Version of the last change.
        std::uint64_t version = 0;
    };

    struct Suspect {
        /// Sorted by id, at most maxEvents.
        std::vector<Event> events;
        TimePoint lastCrash;
    };

    /// A server that was lost recently.
    struct Loss {
        SearcherId searcher;
        TimePoint at;
    };

    std::uint32_t evidenceWeight(TimePoint now, const Suspect &suspect) const noexcept;
    bool hasEarlierCrash(Fingerprint fingerprint, TimePoint lostAt) const noexcept;
    bool isSuspect(TimePoint now, Fingerprint fingerprint) const noexcept;
    bool hasLostManyServers(TimePoint now, SearcherId searcher);
    void record(TimePoint now, Fingerprint fingerprint, bool isStrong);
    bool mergeEvent(Suspect &suspect, const Event &event);
    static void dropWeakestEvent(Suspect &suspect);
    void evictSuspects(TimePoint now);

    std::uint64_t seed_;
    std::uint64_t eventCount_ = 0;
    std::uint64_t version_ = 0;
    std::unordered_map<Fingerprint, Suspect> suspects_;
    FingerprintCache successes_;
    std::vector<Loss> losses_;
};

} // namespace sassafrasvane
