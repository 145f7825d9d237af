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
/// Keeps a request that crashes its servers from crashing many.

namespace sassafrasvane
{

/// What may be done with a request.
enum class CrashVerdict {
    Run,        ///< It has succeeded lately and may be sent to all servers at once.
    ProbeFirst, ///< Nothing is known of it: send it to its probe server alone, to all others after a success.
    Suspect,    ///< As ProbeFirst, and never hedged or retried; a refusal by the probe's holder is final.
    Wait,       ///< Refuse it: its last crash is too recent.
    Barred,     ///< Refuse it: it has crashed servers.
};

/// A crash that a request was part of, as daemons tell it each other.
struct CrashEntry {
    Fingerprint fingerprint;
    /// Identifies the crash as one daemon saw it.
    std::uint64_t event = 0;
    /// The request was the likely cause: alone in doubt at the server.
    bool isStrong = false;
    /// The request has succeeded since.
    bool isCleared = false;
    /// Time until the entry expires. Relative, as clocks differ.
    Duration timeLeft{0};

    bool operator==(const CrashEntry &) const = default;
};

/// Suspects and bars requests that crash their servers, by fingerprint. A fingerprint covers the index version: a
/// request that was harmless on one version need not be on the next.
///
/// A request of which nothing is known goes to one server first and to the others after that has answered (the canary
/// request of Dean and Barroso, "The tail at scale", 2013). That server is chosen by the fingerprint, so the requests
/// of all daemons for it meet at one holder of one server, which sees the crash and needs no message to refuse the
/// next. The holder runs at most one suspect at a server at a time.
///
/// A crash is strong evidence against a request that was the only one in doubt there, and weak evidence against the
/// others. Any evidence makes a suspect; two strong crashes bar it; a success clears it. Weak evidence alone never
/// bars, so neither an innocent request beside a bad one nor one on a server that fails by itself is barred. When
/// several servers are lost at once, the network or a failure domain is the likely cause and the evidence is weak.
///
/// Bound: a request that crashes every server that runs it costs at most crashesToBar() servers at its probe server's
/// holder within entryLifetime(), however many daemons there are and however often its caller sends it. Each loss of
/// that holder's memory (its restart, or a table or partition that gives the probe another holder) before the entries
/// have spread may cost as many again, and each loss of several servers at once one more.
///
/// \code
/// const CrashVerdict verdict = bar.check(now, fingerprint);
/// const std::optional<SearcherId> probe = CrashBar::probeServer(fingerprint, candidates);
/// bar.onServerLost(now, probe, running);
/// \endcode
class CrashBar
{
public:
    /// Most servers lost to one request at one holder: one crash among others in doubt, then two strong ones.
    static constexpr std::uint32_t crashesToBar() noexcept { return 3; }

    /// Strong crashes that bar a request.
    static constexpr std::uint32_t strongCrashesToBar() noexcept { return 2; }

    /// Time for which evidence counts and a bar lasts.
    static constexpr Duration entryLifetime() noexcept { return std::chrono::minutes(10); }

    /// Time for which a success spares a request the probe.
    static constexpr Duration successLifetime() noexcept { return std::chrono::minutes(10); }

    /// Time for which a suspect waits after a crash. Losses within it are one crash, seen on several connections.
    static constexpr Duration suspectPause() noexcept { return std::chrono::seconds(1); }

    /// Most fingerprints with evidence; those with the least are dropped first.
    static constexpr std::size_t maxSuspects() noexcept { return 1024; }

    /// \param seed makes the ids of this daemon's events unique, such as its id mixed with its incarnation.
    explicit CrashBar(std::uint64_t seed);

    /// What may be done with a request now. To be asked by the daemon that takes the request and again by the holder
    /// before it sends the probe.
    CrashVerdict check(TimePoint now, Fingerprint fingerprint) const noexcept;

    /// Whether the holder may send \p fingerprint to a server where \p running run: two suspects are kept apart.
    bool mayRunAlongside(TimePoint now, Fingerprint fingerprint, std::span<const Fingerprint> running) const noexcept;

    /// The server of \p candidates that is asked first, the same at all daemons; nothing if there is none.
    static std::optional<SearcherId> probeServer(Fingerprint fingerprint,
                                                 std::span<const SearcherId> candidates) noexcept;

    /// A server's connection broke while calls ran. \param running the fingerprints of all calls that this daemon had
    /// open at the server, on any connection.
    void onServerLost(TimePoint now, SearcherId searcher, std::span<const Fingerprint> running);

    /// A request ended without an answer after \p servers servers were lost while they ran it. A request over many
    /// shards is at many servers at once, so their common loss is strong evidence if no success of it is known.
    /// \return the new evidence, for other daemons.
    std::vector<CrashEntry> onRequestLost(TimePoint now, Fingerprint fingerprint, std::uint32_t servers);

    /// A server answered the request: it does not crash every server.
    void onSuccess(TimePoint now, Fingerprint fingerprint) noexcept;

    /// Rises with each change of the entries.
    std::uint64_t version() const noexcept { return version_; }

    /// The entries that changed after version \p since, for other daemons.
    std::vector<CrashEntry> changes(TimePoint now, std::uint64_t since) const;

    /// Takes entries of another daemon. The order and repetition of merges do not matter. \return true if any was new.
    bool merge(TimePoint now, std::span<const CrashEntry> entries);

    /// Drops expired entries.
    void onTimer(TimePoint now);

    /// Fingerprints with evidence.
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

    /// A server that was lost lately.
    struct Loss {
        SearcherId searcher;
        TimePoint at;
    };

    std::uint32_t evidenceWeight(TimePoint now, const Suspect &suspect) const noexcept;
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
