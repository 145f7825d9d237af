#include "searcherconnections.h"

#include "http/blockingclient.h"

#include <oneapi/tbb/concurrent_queue.h>

#include <thread>
#include <variant>
#include <vector>

#include <unistd.h>

namespace sassafrasvane::detail
{

namespace
{

using namespace std::chrono_literals;

/// Time in which a connection must open, and which the request that opens it ahead of need may take.
constexpr Duration connectTimeout = 300ms;
/// A reply is awaited for this long after the deadline, so that a searcher that gives up at the deadline can say so.
constexpr Duration replyGrace = 20ms;
/// Time that a cancellation or a health check may take.
constexpr Duration controlTimeout = 100ms;
/// Maximum size of an answer's body.
constexpr std::uint64_t maxAnswerBytes = 8'388'608;
/// Cancellations and health checks that may wait.
constexpr std::ptrdiff_t maxControls = 256;

/// Asks for a health check.
struct HealthCheck {
};

/// Ends a thread that waits for the next item.
struct StopThread {
};

/// What a job thread takes.
using JobItem = std::variant<SearcherJob, StopThread>;
/// What the thread of cancellations and health checks takes.
using ControlItem = std::variant<CallId, HealthCheck, StopThread>;

http::Request makeRequest(http::beast_http::verb method, const Address &searcher, const char *path, std::string body)
{
    http::Request request(method, path, 11);
    request.set(http::beast_http::field::host, searcher.toString());
    if (!body.empty()) {
        request.set(http::beast_http::field::content_type, "application/json");
    }
    request.body() = std::move(body);
    request.prepare_payload();
    return request;
}

BackEndAnswer failedAnswer(const Error &error, bool isLate)
{
    BackEndAnswer answer;
    answer.outcome = error.errc() == Errc::ConnectFailed ? CallOutcome::Refused : CallOutcome::Failed;
    answer.error = error.errc() == Errc::ConnectionLost && isLate ? Errc::Timeout : error.errc();
    return answer;
}

SearcherJobEnd runJob(http::BlockingClient &client, const Address &searcher, const SearcherJob &job)
{
    SearcherJobEnd end;
    end.call = job.call;
    const TimePoint start = BootClock::now();
    const Duration timeLeft = job.deadline - start;
    if (timeLeft <= Duration{0}) {
        end.answer.outcome = CallOutcome::Refused;
        end.answer.error = Errc::DeadlinePassed;
        return end;
    }
    const char *const path = job.kind == WorkKind::Search ? "/search" : "/run";
    http::Request request = makeRequest(http::beast_http::verb::post, searcher, path, job.body);
    request.set("X-Call-Id", searcherCallName(job.call));
    request.set("X-Deadline-Ms", std::to_string(std::max<std::int64_t>(timeLeft.count() / 1000, 1)));
    request.set("traceparent", job.traceparent);
    const Result<http::Response> response = client.call(request, job.deadline + replyGrace);
    end.served = BootClock::now() - start;
    if (response.has_value()) {
        end.wasSent = true;
        end.answer = readBackEndAnswer(static_cast<int>(response.value().result_int()), response.value().body());
        return end;
    }
    end.answer = failedAnswer(response.error(), end.served >= timeLeft);
    end.wasSent = end.answer.outcome == CallOutcome::Failed;
    end.isConnectionLost = end.answer.error == Errc::ConnectionLost;
    return end;
}

} // namespace

struct SearcherConnections::Implementation {
    Address address;
    http::ResponseMemory &memory;
    EndHook onEnd;
    HealthHook onHealth;
    oneapi::tbb::concurrent_bounded_queue<JobItem> jobs;
    oneapi::tbb::concurrent_bounded_queue<ControlItem> controls;
    std::vector<std::thread> threads;
    std::thread controlThread;

    void runJobs();
    void runControls();
    Incarnation checkedIncarnation(http::BlockingClient &client, TimePoint deadline) const;
};

void SearcherConnections::Implementation::runJobs()
{
    http::BlockingClient client(address, memory, {connectTimeout, maxAnswerBytes});
    // Opens the connection ahead of need. A failure shows at the first job.
    (void)client.call(makeRequest(http::beast_http::verb::get, address, "/load", {}),
                      BootClock::now() + connectTimeout);
    while (true) {
        JobItem item;
        jobs.pop(item);
        if (std::holds_alternative<StopThread>(item)) {
            return;
        }
        onEnd(runJob(client, address, std::get<SearcherJob>(item)));
    }
}

void SearcherConnections::Implementation::runControls()
{
    http::BlockingClient client(address, memory, {connectTimeout, maxAnswerBytes});
    while (true) {
        ControlItem item;
        controls.pop(item);
        if (std::holds_alternative<StopThread>(item)) {
            return;
        }
        const TimePoint askedAt = BootClock::now();
        if (const CallId *call = std::get_if<CallId>(&item)) {
            std::string body = writeCancelBody(searcherCallName(*call));
            // Only a hint: nothing follows from its failure.
            (void)client.call(makeRequest(http::beast_http::verb::post, address, "/cancel", std::move(body)),
                              askedAt + controlTimeout);
        } else {
            onHealth({askedAt, checkedIncarnation(client, askedAt + controlTimeout)});
        }
    }
}

Incarnation SearcherConnections::Implementation::checkedIncarnation(http::BlockingClient &client,
                                                                    TimePoint deadline) const
{
    const Result<http::Response> response
        = client.call(makeRequest(http::beast_http::verb::get, address, "/load", {}), deadline);
    if (response.has_error()) {
        return {};
    }
    return readBackEndAnswer(static_cast<int>(response.value().result_int()), response.value().body()).incarnation;
}

SearcherConnections::SearcherConnections(const Address &address,
                                         http::ResponseMemory &memory,
                                         EndHook onEnd,
                                         HealthHook onHealth)
    : implementation_(new Implementation{address, memory, std::move(onEnd), std::move(onHealth), {}, {}, {}, {}})
{
    implementation_->controls.set_capacity(maxControls);
    implementation_->controlThread = std::thread([this] { implementation_->runControls(); });
}

SearcherConnections::~SearcherConnections()
{
    JobItem waiting;
    while (implementation_->jobs.try_pop(waiting)) {
        SearcherJobEnd end;
        end.call = std::get<SearcherJob>(waiting).call;
        end.answer.outcome = CallOutcome::Refused;
        end.answer.error = Errc::NoServer;
        implementation_->onEnd(std::move(end));
    }
    for (std::size_t i = 0; i < implementation_->threads.size(); ++i) {
        implementation_->jobs.push(StopThread());
    }
    ControlItem control;
    while (implementation_->controls.try_pop(control)) {
    }
    implementation_->controls.push(StopThread());
    for (std::thread &thread : implementation_->threads) {
        thread.join();
    }
    implementation_->controlThread.join();
}

void SearcherConnections::add()
{
    implementation_->threads.emplace_back([this] { implementation_->runJobs(); });
}

std::size_t SearcherConnections::count() const noexcept
{
    return implementation_->threads.size();
}

void SearcherConnections::run(SearcherJob job)
{
    implementation_->jobs.push(std::move(job));
}

void SearcherConnections::cancel(CallId call)
{
    implementation_->controls.try_push(call);
}

void SearcherConnections::checkHealth()
{
    implementation_->controls.try_push(HealthCheck());
}

std::string searcherCallName(CallId call)
{
    static const std::string process = std::to_string(wallClockMicros()) + '-' + std::to_string(getpid()) + '-';
    return process + std::to_string(call.value);
}

} // namespace sassafrasvane::detail
