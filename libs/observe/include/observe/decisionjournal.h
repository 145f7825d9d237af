#pragma once

#include "base/address.h"
#include "base/time.h"
#include "observe/trace.h"

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// The recent decisions of a daemon, for operators who ask why an answer or a server's load is as it is.

namespace sassafrasvane
{

/// What was decided.
enum class DecisionKind {
    SnapshotChosen,        ///< A query was fixed to an index version.
    SnapshotChanged,       ///< A query was started once more at another version.
    HedgeSent,             ///< A slow call was asked of another searcher too.
    RetrySent,             ///< A failed call was asked of another searcher.
    PartMissed,            ///< A part is not in the answer.
    LimitHit,              ///< Work waited or was refused because of a limit.
    RequestRefused,        ///< A request was refused without having run.
    RequestBarred,         ///< A request is barred because it has crashed servers.
    ServerCold,            ///< A server is treated as newly started.
    ServerWarm,            ///< A server bears full load again.
    DomainOut,             ///< A failure domain takes no new work.
    DomainBack,            ///< A failure domain takes work again.
    ConfigurationAccepted, ///< A published value is in force.
    ConfigurationRejected, ///< A published value was refused.
    TargetConflict,        ///< A class's targets cannot be met together.
    TicketUsed,            ///< A non-idempotent request was begun.
    Draining,              ///< The daemon is stopping.
};

/// Stable name of \p kind, such as "hedge_sent".
const char *name(DecisionKind kind) noexcept;

/// The kind called \p text, or nothing.
std::optional<DecisionKind> decisionKind(std::string_view text) noexcept;

/// One decision.
struct Decision {
    /// Microseconds since the Unix epoch.
    std::uint64_t timeMicros = 0;
    DecisionKind kind = DecisionKind::LimitHit;
    /// The trace of the request; not valid if it concerns none.
    TraceId trace;
    /// Name of the class of work; empty if it concerns none.
    std::string cls;
    /// The searcher or daemon concerned; port 0 if none.
    Address server;
    /// One sentence for people; never a caller's payload or a key.
    std::string text;
};

/// Which decisions are wanted. A member that is not set matches all.
struct DecisionFilter {
    std::optional<TraceId> trace = std::nullopt;
    std::optional<std::string> cls = std::nullopt;
    std::optional<Address> server = std::nullopt;
    /// Most decisions returned; the newest ones are kept.
    std::size_t limit = 200;
};

/// Ring of the newest decisions. May be used by any thread.
///
/// \code
/// DecisionJournal journal(DecisionJournal::defaultCapacity);
/// journal.record({wallClockMicros(), DecisionKind::HedgeSent, trace, "lookup", address, "part 7 was slow"});
/// const std::vector<Decision> decisions = journal.find({.trace = trace});
/// \endcode
class DecisionJournal
{
public:
    /// Decisions kept by default.
    static constexpr std::size_t defaultCapacity = 8'192;
    /// Length at which a decision's text and class are cut, in bytes.
    static constexpr std::size_t maxTextLength = 256;

    /// \param capacity decisions kept, at least 1.
    explicit DecisionJournal(std::size_t capacity);

    /// Adds \p decision in place of the oldest one if the ring is full.
    void record(Decision decision);

    /// The newest decisions that match \p filter, oldest first.
    std::vector<Decision> find(const DecisionFilter &filter) const;

    /// Decisions recorded since the start.
    std::uint64_t recordedDecisions() const;

private:
    mutable std::mutex mutex_;
    std::vector<Decision> ring_;
    const std::size_t capacity_;
    std::uint64_t recorded_ = 0;
};

} // namespace sassafrasvane
