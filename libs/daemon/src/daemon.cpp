#include "daemon/daemon.h"

#include "base/random.h"
#include "daemon/callerserver.h"
#include "daemon/entrytask.h"
#include "daemon/leaftask.h"
#include "daemon/peerlinks.h"
#include "daemon/platformreader.h"
#include "daemon/publishedview.h"

#include <algorithm>
#include <mutex>

namespace sassafrasvane
{

namespace
{

using namespace std::chrono_literals;

/// How long callers may keep the addresses that they were given.
constexpr Duration adviceLifetime = 10s;
/// Addresses given to a caller.
constexpr std::size_t adviceSize = 3;

} // namespace

struct Daemon::Implementation {
    ProcessSettings settings;
    std::function<void(const Error &error)> errorSink;
    DaemonId self;
    Incarnation incarnation{wallClockMicros()};

    std::mutex viewMutex;
    ViewBuilder viewBuilder;
    std::shared_ptr<const PublishedView> view;
    Random adviceRandom{wallClockMicros()};

    std::unique_ptr<PeerLinks> links;
    std::unique_ptr<LeafTask> leaf;
    std::unique_ptr<EntryTask> entry;
    std::unique_ptr<CallerServer> callers;
    std::unique_ptr<PlatformReader> platform;

    Result<void> startTasks();
    PeerLinkHooks linkHooks();
    EntryHooks entryHooks();
    CallerServerHooks callerHooks();
    void onMessage(LinkId link, PeerMessage message);
    void onValue(const PublishedValue &value);
    template<typename Value>
    bool takeValue(Result<Value> read);
    EntriesAnswer entries(const std::string &failureDomain);
};

PeerLinkHooks Daemon::Implementation::linkHooks()
{
    PeerLinkHooks hooks;
    hooks.onMessage = [this](LinkId link, DaemonId, PeerMessage message) { onMessage(link, std::move(message)); };
    hooks.onUnsent = [this](DaemonId to, PeerMessage message) {
        if (LeafRequest *request = std::get_if<LeafRequest>(&message)) {
            entry->onUnsent(to, std::move(*request));
        }
    };
    hooks.onLost = [this](DaemonId to) { entry->onLost(to); };
    hooks.onError = [this](const Error &error) { errorSink(error); };
    return hooks;
}

void Daemon::Implementation::onMessage(LinkId link, PeerMessage message)
{
    if (LeafRequest *request = std::get_if<LeafRequest>(&message)) {
        leaf->request(link, std::move(*request));
    } else if (LeafReply *reply = std::get_if<LeafReply>(&message)) {
        entry->onReply(std::move(*reply));
    } else if (LeafCancel *cancel = std::get_if<LeafCancel>(&message)) {
        leaf->cancel(link, std::move(*cancel));
    }
}

EntryHooks Daemon::Implementation::entryHooks()
{
    EntryHooks hooks;
    hooks.sendRequest = [this](DaemonId to, LeafRequest request) {
        if (to == self) {
            leaf->request(std::nullopt, std::move(request));
        } else {
            links->send(to, std::move(request));
        }
    };
    hooks.sendCancel = [this](DaemonId to, LeafCancel cancel) {
        if (to == self) {
            leaf->cancel(std::nullopt, std::move(cancel));
        } else {
            links->send(to, std::move(cancel));
        }
    };
    return hooks;
}

CallerServerHooks Daemon::Implementation::callerHooks()
{
    CallerServerHooks hooks;
    hooks.query = [this](CallerQuery query, std::string traceparent, CallerReply reply) {
        entry->query(std::move(query), std::move(traceparent), std::move(reply));
    };
    hooks.run = [this](CallerRun run, std::string identity, std::string traceparent, CallerReply reply) {
        entry->run(std::move(run), std::move(identity), std::move(traceparent), std::move(reply));
    };
    hooks.entries = [this](const std::string &failureDomain) { return entries(failureDomain); };
    hooks.isReady = [this] {
        const std::lock_guard<std::mutex> lock(viewMutex);
        return view != nullptr;
    };
    return hooks;
}

EntriesAnswer Daemon::Implementation::entries(const std::string &failureDomain)
{
    const std::lock_guard<std::mutex> lock(viewMutex);
    EntriesAnswer answer;
    answer.lifetime = adviceLifetime;
    std::vector<const Vm *> candidates;
    if (view != nullptr) {
        for (const Vm &vm : view->vms->vms) {
            if (vm.state == ServerState::Live && !view->configuration->isOut(vm.failureDomain)) {
                candidates.push_back(&vm);
            }
        }
    }
    for (std::size_t i = 0; i + 1 < candidates.size(); ++i) {
        std::swap(candidates[i], candidates[i + adviceRandom.below(candidates.size() - i)]);
    }
    std::stable_partition(candidates.begin(), candidates.end(), [&failureDomain](const Vm *vm) {
        return vm->failureDomain == failureDomain;
    });
    for (std::size_t i = 0; i < std::min(adviceSize, candidates.size()); ++i) {
        answer.entries.push_back(candidates[i]->callers.toString());
    }
    if (answer.entries.empty()) {
        answer.entries.push_back(settings.callers.toString());
    }
    return answer;
}

template<typename Value>
bool Daemon::Implementation::takeValue(Result<Value> read)
{
    if (read.has_error()) {
        errorSink(read.error());
        return false;
    }
    return viewBuilder.take(std::move(read.value()));
}

void Daemon::Implementation::onValue(const PublishedValue &value)
{
    const std::lock_guard<std::mutex> lock(viewMutex);
    bool isTaken = false;
    if (value.key == "configuration") {
        isTaken = takeValue(readConfiguration(value.value, value.version));
    } else if (value.key == "shardmap") {
        isTaken = takeValue(readShardMap(value.value, value.version));
    } else if (value.key == "vms") {
        isTaken = takeValue(readVmList(value.value, value.version));
    }
    if (!isTaken) {
        return;
    }
    const std::shared_ptr<const PublishedView> next = viewBuilder.view();
    if (next != nullptr) {
        view = next;
        leaf->setView(next);
        entry->setView(next);
    }
}

Result<void> Daemon::Implementation::startTasks()
{
    self = daemonId(settings.peers);
    LeafHooks leafHooks;
    leafHooks.onReply = [this](const LeafOrigin &origin, LeafReply reply) {
        if (origin) {
            links->reply(*origin, std::move(reply));
        } else {
            entry->onReply(std::move(reply));
        }
    };
    leaf = std::make_unique<LeafTask>(self, std::move(leafHooks));
    entry = std::make_unique<EntryTask>(EntryIdentity{self, incarnation, mix(self.value, incarnation.value)},
                                        entryHooks());
    Result<std::unique_ptr<PeerLinks>> builtLinks
        = PeerLinks::Builder().identity({self, incarnation}).keys(settings.peerKeys).hooks(linkHooks()).build();
    if (builtLinks.has_error()) {
        return builtLinks.error();
    }
    links = std::move(builtLinks.value());
    Result<std::unique_ptr<CallerServer>> builtCallers = CallerServer::start(settings.callers, callerHooks());
    if (builtCallers.has_error()) {
        return builtCallers.error();
    }
    callers = std::move(builtCallers.value());
    PlatformHooks platformHooks;
    platformHooks.onValue = [this](const PublishedValue &value) { onValue(value); };
    platformHooks.onError = [this](const Error &error) { errorSink(error); };
    platform = std::make_unique<PlatformReader>(
        settings.platform, std::vector<std::string>{"configuration", "shardmap", "vms"}, std::move(platformHooks));
    return boost::outcome_v2::success();
}

Daemon::Daemon(std::unique_ptr<Implementation> implementation) : implementation_(std::move(implementation))
{
}

Daemon::~Daemon()
{
    stop();
}

void Daemon::stop()
{
    if (implementation_->callers != nullptr) {
        implementation_->callers->stop();
    }
    if (implementation_->platform != nullptr) {
        implementation_->platform->stop();
    }
    implementation_->entry->stop();
    implementation_->leaf->stop();
    if (implementation_->links != nullptr) {
        implementation_->links->stop();
    }
}

Daemon::Builder &Daemon::Builder::settings(ProcessSettings settings)
{
    settings_ = std::move(settings);
    return *this;
}

Daemon::Builder &Daemon::Builder::errorSink(std::function<void(const Error &error)> sink)
{
    errorSink_ = std::move(sink);
    return *this;
}

Result<std::unique_ptr<Daemon>> Daemon::Builder::build()
{
    auto implementation = std::make_unique<Implementation>();
    implementation->settings = settings_;
    implementation->errorSink = errorSink_;
    std::unique_ptr<Daemon> daemon(new Daemon(std::move(implementation)));
    const Result<void> started = daemon->implementation_->startTasks();
    if (started.has_error()) {
        return started.error();
    }
    return daemon;
}

} // namespace sassafrasvane
