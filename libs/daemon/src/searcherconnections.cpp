#include "searcherconnections.h"

#include <httplib.h>
#include <oneapi/tbb/concurrent_queue.h>

#include <thread>
#include <vector>

#include <unistd.h>

namespace sassafrasvane::detail
{

namespace
{

using namespace std::chrono_literals;

/// Time in which a connection must open.
constexpr std::chrono::milliseconds connectTimeout = 300ms;
/// A reply is awaited for this long after the deadline, so that a searcher that gives up at the deadline can say so.
constexpr Duration replyGrace = 20ms;
/// Time that a cancellation may take.
constexpr std::chrono::milliseconds cancelTimeout = 100ms;
/// Cancellations that may wait.
constexpr std::ptrdiff_t maxCancels = 256;

/// Ends a thread that waits for the next item.
struct StopThread {
};

template<typename Item>
using Queue = oneapi::tbb::concurrent_bounded_queue<std::variant<Item, StopThread>>;

std::unique_ptr<httplib::Client> makeClient(const Address &address)
{
    auto client = std::make_unique<httplib::Client>(address.host(), address.port);
    client->set_keep_alive(true);
    client->set_tcp_nodelay(true);
    client->set_connection_timeout(connectTimeout);
    return client;
}

BackEndAnswer transportFailure(httplib::Error error, bool isTimeout)
{
    BackEndAnswer answer;
    if (error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout) {
        answer.outcome = CallOutcome::Refused;
        answer.error = Errc::ConnectFailed;
    } else {
        answer.outcome = CallOutcome::Failed;
        answer.error = isTimeout ? Errc::Timeout : Errc::ConnectionLost;
    }
    return answer;
}

SearcherJobEnd runJob(httplib::Client &client, const SearcherJob &job)
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
    client.set_read_timeout(timeLeft + replyGrace);
    client.set_write_timeout(timeLeft + replyGrace);
    const httplib::Headers headers{
        {"X-Call-Id", searcherCallName(job.call)},
        {"X-Deadline-Ms", std::to_string(std::max<std::int64_t>(timeLeft.count() / 1000, 1))},
        {"traceparent", job.traceparent}};
    const char *const path = job.kind == WorkKind::Search ? "/search" : "/run";
    const httplib::Result result = client.Post(path, headers, job.body, "application/json");
    end.served = BootClock::now() - start;
    if (result) {
        end.wasSent = true;
        end.answer = readBackEndAnswer(result->status, result->body);
        return end;
    }
    end.answer = transportFailure(result.error(), end.served >= timeLeft);
    end.wasSent = end.answer.outcome == CallOutcome::Failed;
    end.isConnectionLost = end.answer.error == Errc::ConnectionLost;
    return end;
}

} // namespace

struct SearcherConnections::Implementation {
    Address address;
    EndHook onEnd;
    Queue<SearcherJob> jobs;
    Queue<CallId> cancels;
    std::vector<std::thread> threads;
    std::thread cancelThread;

    void runJobs();
    void runCancels();
};

void SearcherConnections::Implementation::runJobs()
{
    const std::unique_ptr<httplib::Client> client = makeClient(address);
    client->set_read_timeout(connectTimeout);
    // Opens the connection ahead of need.
    client->Get("/load");
    while (true) {
        std::variant<SearcherJob, StopThread> item;
        jobs.pop(item);
        if (std::holds_alternative<StopThread>(item)) {
            return;
        }
        onEnd(runJob(*client, std::get<SearcherJob>(item)));
    }
}

void SearcherConnections::Implementation::runCancels()
{
    const std::unique_ptr<httplib::Client> client = makeClient(address);
    client->set_read_timeout(cancelTimeout);
    client->set_write_timeout(cancelTimeout);
    while (true) {
        std::variant<CallId, StopThread> item;
        cancels.pop(item);
        if (std::holds_alternative<StopThread>(item)) {
            return;
        }
        client->Post("/cancel", writeCancelBody(searcherCallName(std::get<CallId>(item))), "application/json");
    }
}

SearcherConnections::SearcherConnections(const Address &address, EndHook onEnd)
    : implementation_(std::make_unique<Implementation>())
{
    implementation_->address = address;
    implementation_->onEnd = std::move(onEnd);
    implementation_->cancels.set_capacity(maxCancels);
    implementation_->cancelThread = std::thread([this] { implementation_->runCancels(); });
}

SearcherConnections::~SearcherConnections()
{
    std::variant<SearcherJob, StopThread> waiting;
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
    std::variant<CallId, StopThread> cancel;
    while (implementation_->cancels.try_pop(cancel)) {
    }
    implementation_->cancels.push(StopThread());
    for (std::thread &thread : implementation_->threads) {
        thread.join();
    }
    implementation_->cancelThread.join();
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
    implementation_->cancels.try_push(call);
}

std::string searcherCallName(CallId call)
{
    static const std::string process = std::to_string(wallClockMicros()) + '-' + std::to_string(getpid()) + '-';
    return process + std::to_string(call.value);
}

} // namespace sassafrasvane::detail
