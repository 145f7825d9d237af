#pragma once

#include "daemon/daemon.h"

#include "admission/searchergate.h"
#include "answerrecorder.h"
#include "base/random.h"
#include "control/controlserver.h"
#include "daemon/callerserver.h"
#include "daemon/entrytask.h"
#include "daemon/fleettask.h"
#include "daemon/leaftask.h"
#include "daemon/oncetask.h"
#include "daemon/peerlinks.h"
#include "daemon/platformreader.h"
#include "daemon/publishedview.h"
#include "daemon/sharedcrashbar.h"
#include "stoptask.h"

#include <algorithm>
#include <atomic>
#include <mutex>

/// \file
/// The tasks of a daemon and what they share.

namespace sassafrasvane
{

namespace detail
{

/// A seed from the operating system's random generator.
std::uint64_t randomSeed();

} // namespace detail

struct Daemon::Implementation {
    explicit Implementation(ProcessSettings settings)
        : settings(std::move(settings))
        , self(daemonId(this->settings.peers))
        , recorder(observability, this->settings.traceSampling, detail::randomSeed())
    {
    }

    ProcessSettings settings;
    DaemonId self;
    Incarnation incarnation{wallClockMicros()};
    detail::Observability observability;
    detail::AnswerRecorder recorder;
    std::atomic<std::size_t> openRequests{0};

    std::mutex viewMutex;
    ViewBuilder viewBuilder;
    std::shared_ptr<const PublishedView> view;
    std::vector<Member> members;
    Random noticeRandom{detail::randomSeed()};
    TimePoint readyAt;
    TimePoint startedAt = BootClock::now();

    /// Tells a few peers what is new, who tell a few others.
    SharedCrashBar crashes{detail::randomSeed(),
                           [this](const std::vector<CrashEntry> &entries) { spreadCrashes(entries); }};

    std::unique_ptr<PeerLinks> links;
    std::unique_ptr<LeafTask> leaf;
    std::unique_ptr<EntryTask> entry;
    std::unique_ptr<OnceTask> once;
    std::unique_ptr<FleetTask> fleet;
    std::unique_ptr<CallerServer> callers;
    std::unique_ptr<PlatformReader> platform;
    std::unique_ptr<ControlServer> control;
    std::unique_ptr<detail::StopTask> stop;

    DaemonStatus status();
    WhyReply why(const WhySubject &subject);
    EntriesReply advisedEntries();
    DrainReply drain();
    std::string metricsText();
    Result<void> startControl();
    Result<void> startTasks();
    Result<void> openObservability();
    LeafHooks leafHooks();
    PeerLinkHooks linkHooks();
    EntryHooks entryHooks();
    OnceHooks onceHooks();
    FleetHooks fleetHooks();
    CallerServerHooks callerHooks();
    detail::StopHooks stopHooks();
    void onMessage(LinkId link, PeerMessage message);
    void onUnsent(DaemonId to, PeerMessage message);
    void onAccepted(const AcceptedValue &value);
    void onRefused(const RefusedValue &value);
    void onMembers(const std::vector<Member> &changed);
    void onPhase(StopPhase phase);
    void spreadCrashes(const std::vector<CrashEntry> &entries);
    std::string startQuery(CallerQuery query, const std::string &traceparent, const CallerReply &reply);
    std::string startRun(CallerOnce request, const std::string &traceparent, const CallerReply &reply);
    CallerReply recorded(const detail::RequestTrace &request, CallerReply reply);
    std::optional<RequestClass> findClass(const std::string &className);
    std::optional<Error> refusalWhileStopping() const;
    std::optional<Incarnation> knownIncarnation(DaemonId daemon);
    EntriesAnswer entries(const std::string &failureDomain);
    void log(const Error &error);
    void stopTasks();
};

} // namespace sassafrasvane
