#pragma once

#include "base/address.h"
#include "base/error.h"
#include "daemon/entrytask.h"
#include "wire/callerapi.h"

#include <functional>
#include <memory>
#include <string>

/// \file
/// The HTTP server for callers.

namespace sassafrasvane
{

/// A copy of a non-idempotent request as a caller sent it.
struct CallerOnce {
    CallerRun run;
    /// Header Idempotency-Key.
    std::string key;
    /// Header Request-Ticket, from the answer to GET /v1/entries.
    std::string ticket;
    /// Header Request-Sole-Copy: the caller sends no other copy before this one is answered.
    bool isSoleCopy = false;
};

/// What the server asks for. All are called on its threads.
struct CallerServerHooks {
    /// Starts a query; \p reply is called once. \return the trace id.
    std::function<std::string(CallerQuery query, const std::string &traceparent, CallerReply reply)> query;
    /// Starts a non-idempotent request; as for query.
    std::function<std::string(CallerOnce request, const std::string &traceparent, CallerReply reply)> run;
    /// The addresses to give to a caller in \p failureDomain, which is empty if it does not say.
    std::function<EntriesAnswer(const std::string &failureDomain)> entries;
    /// True if callers should be sent here.
    std::function<bool()> isReady;
};

/// Serves callers: POST /v1/query, POST /v1/run, GET /v1/entries, GET /v1/live, GET /v1/ready.
///
/// \code
/// const std::unique_ptr<CallerServer> server = CallerServer::start(address, hooks).value();
/// \endcode
class CallerServer
{
public:
    /// \return the server, listening; or Errc::Unavailable if \p address cannot be bound.
    static Result<std::unique_ptr<CallerServer>> start(const Address &address, CallerServerHooks hooks);

    ~CallerServer();

    CallerServer(const CallerServer &) = delete;
    CallerServer &operator=(const CallerServer &) = delete;

    /// Takes no new connections and returns when the requests that run, and those that had been sent on connections
    /// that were open, have been answered.
    void stop();

private:
    struct Implementation;
    explicit CallerServer(std::unique_ptr<Implementation> implementation);
    std::unique_ptr<Implementation> implementation_;
};

} // namespace sassafrasvane
