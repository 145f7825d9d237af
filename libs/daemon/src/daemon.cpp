#include "daemonimplementation.h"

namespace sassafrasvane
{

namespace
{

using namespace std::chrono_literals;

/// The longest deadline of accepted work.
constexpr Duration longestWork = 10s;

StopTimes stopTimes()
{
    StopTimes times;
    times.longestAdvice = FleetTask::longestAdvice();
    times.longestTicket = OnceTask::ticketLifetime;
    times.longestWork = longestWork;
    return times;
}

} // namespace

std::uint64_t detail::randomSeed()
{
    return hashBytes(makeNonce());
}

void Daemon::Implementation::log(const Error &error)
{
    observability.logger->log(LogRecord::of(LogLevel::Warn, error));
}

Result<void> Daemon::Implementation::openObservability()
{
    Result<std::unique_ptr<Logger>> logger
        = Logger::Builder().level(logLevel(settings.logLevel).value_or(LogLevel::Info)).file(settings.logFile).build();
    if (logger.has_error()) {
        return logger.error();
    }
    observability.logger = std::move(logger.value());
    TraceSink::Builder traces;
    traces.instance(settings.peers.toString());
    if (!settings.traceFile.empty()) {
        traces.file(settings.traceFile);
    }
    Result<std::unique_ptr<TraceSink>> sink = traces.build();
    if (sink.has_error()) {
        return sink.error();
    }
    observability.traces = std::move(sink.value());
    return boost::outcome_v2::success();
}

Result<void> Daemon::Implementation::startTasks()
{
    if (const Result<void> opened = openObservability(); opened.has_error()) {
        return opened.error();
    }
    stop = std::make_unique<detail::StopTask>(stopTimes(), stopHooks());
    leaf = std::make_unique<LeafTask>(self, crashes, leafHooks());
    entry = std::make_unique<EntryTask>(EntryIdentity{self, incarnation, detail::randomSeed()}, crashes, entryHooks());
    once = std::make_unique<OnceTask>(
        TicketOrigin{self, incarnation, detail::randomSeed()}, settings.peerKeys, onceHooks());
    Result<std::unique_ptr<PeerLinks>> builtLinks
        = PeerLinks::Builder().identity({self, incarnation}).keys(settings.peerKeys).hooks(linkHooks()).build();
    if (builtLinks.has_error()) {
        return builtLinks.error();
    }
    links = std::move(builtLinks.value());
    PlatformHooks platformHooks;
    platformHooks.onValue = [this](PlatformValue value) { fleet->onServiceValue(std::move(value)); };
    platformHooks.onFailed = [this](ConfigKey key, const Error &error) {
        log(error);
        fleet->onServiceFailed(key);
    };
    platform = std::make_unique<PlatformReader>(settings.platform, std::move(platformHooks));
    const FleetIdentity identity{
        self, incarnation, settings.callers, settings.failureDomain, settings.region, settings.peerKeys};
    Result<std::unique_ptr<FleetTask>> builtFleet = FleetTask::create(identity, fleetHooks());
    if (builtFleet.has_error()) {
        return builtFleet.error();
    }
    fleet = std::move(builtFleet.value());
    if (const Result<void> started = startControl(); started.has_error()) {
        return started.error();
    }
    Result<std::unique_ptr<CallerServer>> builtCallers = CallerServer::start(settings.callers, callerHooks());
    if (builtCallers.has_error()) {
        return builtCallers.error();
    }
    callers = std::move(builtCallers.value());
    links->run();
    fleet->run();
    return boost::outcome_v2::success();
}

// Ends the tasks in the order in which work flows, so that each can still hand on what it has.
void Daemon::Implementation::stopTasks()
{
    control.reset();
    if (callers != nullptr) {
        callers->stop();
    }
    if (platform != nullptr) {
        platform->stop();
    }
    if (fleet != nullptr) {
        fleet->stop();
    }
    if (once != nullptr) {
        once->stop();
    }
    if (entry != nullptr) {
        entry->stop();
    }
    if (leaf != nullptr) {
        leaf->stop();
    }
    if (links != nullptr) {
        links->stop();
    }
}

Daemon::Daemon(std::unique_ptr<Implementation> implementation) : implementation_(std::move(implementation))
{
}

Daemon::~Daemon()
{
    implementation_->stopTasks();
}

void Daemon::requestStop()
{
    implementation_->stop->request();
}

int Daemon::waitForExit()
{
    const int exitCode = implementation_->stop->wait();
    implementation_->stopTasks();
    return exitCode;
}

Daemon::Builder &Daemon::Builder::settings(ProcessSettings settings)
{
    settings_ = std::move(settings);
    return *this;
}

Result<std::unique_ptr<Daemon>> Daemon::Builder::build()
{
    std::unique_ptr<Daemon> daemon(new Daemon(std::make_unique<Implementation>(settings_)));
    const Result<void> started = daemon->implementation_->startTasks();
    if (started.has_error()) {
        return started.error();
    }
    return daemon;
}

} // namespace sassafrasvane
