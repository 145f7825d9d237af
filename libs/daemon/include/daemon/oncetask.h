#pragma once

#include "base/ids.h"
#include "daemon/callerserver.h"
#include "daemon/entrytask.h"
#include "daemon/peerlinks.h"
#include "once/ticket.h"
#include "wire/peermessages.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

/// \file
/// The task that answers for non-idempotent requests.

namespace sassafrasvane
{

/// How the task reaches servers and other daemons. Called on its own thread.
struct OnceHooks {
    /// Sends one attempt to a server.
    std::function<void(RunWork work, RunReply reply)> run;
    std::function<void(DaemonId owner, OnceForward forward)> sendForward;
    std::function<void(LinkId link, OnceForwardReply reply)> sendReply;
    /// The incarnation in which a daemon was last seen, or nothing.
    std::function<std::optional<Incarnation>(DaemonId daemon)> knownIncarnation;
};

/// Owns the requests of the tickets that this daemon issued, and forwards those of other daemons' tickets.
///
/// \code
/// OnceTask once(origin, keys, hooks);
/// once.accept(request, traceparent, timeLeft, reply);
/// \endcode
class OnceTask
{
public:
    /// How long a ticket is good for.
    static constexpr Duration ticketLifetime = std::chrono::seconds(60);

    /// \param origin this life of this daemon. \param keys the first signs tickets, all are accepted.
    OnceTask(const TicketOrigin &origin, const std::vector<std::string> &keys, OnceHooks hooks);
    ~OnceTask();

    OnceTask(const OnceTask &) = delete;
    OnceTask &operator=(const OnceTask &) = delete;

    /// A new ticket as text. Callable from any thread.
    std::string issueTicket();

    /// Takes a copy from a caller, who is answered within \p timeLeft.
    void accept(CallerOnce request, std::string traceparent, Duration timeLeft, CallerReply reply);

    /// Takes a copy that another daemon forwarded.
    void onForward(LinkId link, OnceForward forward);

    /// Takes the owner's answer to a copy that was forwarded from here.
    void onForwardReply(OnceForwardReply reply);

    /// Takes back a copy that was not sent.
    void onUnsent(const OnceForward &forward);

    /// Notes that answers of \p owner that are still awaited will not come.
    void onLost(DaemonId owner);

    /// Starts no further request; copies of known requests are still answered.
    void stopAccepting();

    /// Ends the thread; copies that wait are answered as unknown.
    void stop();

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace sassafrasvane
