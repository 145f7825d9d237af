#include "leafimplementation.h"

namespace sassafrasvane
{

// The fingerprints of the other calls that run at the searcher.
std::vector<Fingerprint> LeafTask::Implementation::runningAt(SearcherId searcher, CallId except) const
{
    std::vector<Fingerprint> running;
    for (const auto &[id, call] : calls) {
        if (call.isRunning && id != except && call.call.searcher == searcher
            && call.request->kind == WorkKind::Search) {
            running.push_back(call.request->fingerprint);
        }
    }
    return running;
}

// The holder decides once more, as it alone sees what runs at the searcher and which crashes there were.
bool LeafTask::Implementation::passesCrashBar(SearcherId searcher, const detail::LeafCall &call, CallId id) const
{
    if (call.request->kind == WorkKind::Run) {
        return true;
    }
    const Fingerprint fingerprint = call.request->fingerprint;
    const CrashVerdict verdict = crashes.check(fingerprint);
    if (verdict == CrashVerdict::Wait || verdict == CrashVerdict::Barred) {
        return false;
    }
    return verdict != CrashVerdict::Suspect || crashes.mayRunAlongside(fingerprint, runningAt(searcher, id));
}

void LeafTask::Implementation::learnOfCrash(SearcherId searcher,
                                            const detail::LeafCall &call,
                                            const detail::SearcherJobEnd &jobEnd)
{
    if (call.request->kind == WorkKind::Run) {
        return;
    }
    const Fingerprint fingerprint = call.request->fingerprint;
    if (jobEnd.answer.outcome == CallOutcome::Answered) {
        crashes.onSuccess(fingerprint);
    } else if (jobEnd.isConnectionLost) {
        std::vector<Fingerprint> running = runningAt(searcher, jobEnd.call);
        running.push_back(fingerprint);
        crashes.onServerLost(searcher, running);
    }
}

} // namespace sassafrasvane
