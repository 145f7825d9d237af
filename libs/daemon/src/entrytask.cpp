#include "entryimplementation.h"

#include <future>

namespace sassafrasvane
{

CallerOutcome CallerOutcome::failure(Error error, Ran ran)
{
    CallerOutcome outcome;
    outcome.error = std::move(error);
    outcome.ran = ran;
    return outcome;
}

void EntryTask::Implementation::adopt(std::shared_ptr<const PublishedView> next)
{
    view = std::move(next);
    const TimePoint now = BootClock::now();
    router.setView({view->map, view->configuration, view->holders});
    for (const RequestClass &cls : view->configuration->classes) {
        classes.try_emplace(cls.name, cls).first->second.setTarget(cls);
    }
    EntryActions actions;
    admission.setClasses(now, view->configuration->classes, actions);
    applyAdmission(actions);
}

const RequestClass *EntryTask::Implementation::findClass(std::string_view name) const
{
    const std::optional<ClassIndex> index = view->configuration->findClass(name);
    return index ? &view->configuration->classes[index->value] : nullptr;
}

EntryTask::EntryTask(const EntryIdentity &identity, SharedCrashBar &crashes, EntryHooks hooks)
    : implementation_(std::make_unique<Implementation>(identity, crashes, std::move(hooks)))
{
}

EntryTask::~EntryTask()
{
    stop();
}

void EntryTask::setView(std::shared_ptr<const PublishedView> view)
{
    implementation_->loop.post(
        [implementation = implementation_.get(), view = std::move(view)] { implementation->adopt(view); });
}

void EntryTask::setUnusableDaemons(std::unordered_set<DaemonId> daemons)
{
    implementation_->loop.post([implementation = implementation_.get(), daemons = std::move(daemons)] {
        implementation->router.setUnusableDaemons(daemons);
    });
}

void EntryTask::query(CallerQuery query, std::string traceparent, CallerReply reply)
{
    implementation_->loop.post([implementation = implementation_.get(),
                                query = std::move(query),
                                traceparent = std::move(traceparent),
                                reply = std::move(reply)] { implementation->offerQuery(query, traceparent, reply); });
}

void EntryTask::run(RunWork work, RunReply reply)
{
    implementation_->loop.post([implementation = implementation_.get(),
                                work = std::move(work),
                                reply = std::move(reply)] { implementation->startRun(work, reply); });
}

std::vector<ClassState> EntryTask::classes() const
{
    std::promise<std::vector<ClassState>> promise;
    implementation_->loop.post([implementation = implementation_.get(), &promise] {
        std::vector<ClassState> list;
        for (const auto &[name, runtime] : implementation->classes) {
            list.push_back({name, runtime.conflictText()});
        }
        promise.set_value(std::move(list));
    });
    return promise.get_future().get();
}

void EntryTask::onReply(LeafReply reply)
{
    implementation_->loop.post([implementation = implementation_.get(), reply = std::move(reply)]() mutable {
        implementation->take(std::move(reply));
    });
}

void EntryTask::onUnsent(DaemonId, LeafRequest request)
{
    implementation_->loop.post([implementation = implementation_.get(), request = std::move(request)] {
        for (const SearchCall &call : request.calls) {
            implementation->failCall(call.call, CallOutcome::Refused, Errc::Unavailable);
        }
    });
}

void EntryTask::onLost(DaemonId daemon)
{
    implementation_->loop.post([implementation = implementation_.get(), daemon] {
        std::vector<CallId> lost;
        for (const auto &[id, call] : implementation->calls) {
            if (call.holder == daemon) {
                lost.push_back(id);
            }
        }
        for (const CallId call : lost) {
            implementation->failCall(call, CallOutcome::Failed, Errc::ConnectionLost);
        }
    });
}

void EntryTask::stop()
{
    implementation_->loop.stop();
    const Error error(Errc::Draining, Step::Stop, {}, "the daemon has stopped");
    for (auto &[id, query] : implementation_->waiting) {
        query.reply(CallerOutcome::failure(error, Ran::No));
    }
    for (auto &[id, query] : implementation_->queries) {
        query.reply(CallerOutcome::failure(error, Ran::Unknown));
    }
    for (auto &[id, run] : implementation_->runs) {
        run.reply({CallOutcome::Failed, Errc::Draining, {}});
    }
    implementation_->waiting.clear();
    implementation_->queries.clear();
    implementation_->runs.clear();
}

} // namespace sassafrasvane
