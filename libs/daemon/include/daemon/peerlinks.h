#pragma once

#include "base/error.h"
#include "base/ids.h"
#include "wire/peerauth.h"
#include "wire/peermessages.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

/// \file
/// The TCP links between daemons.

namespace sassafrasvane
{

/// One TCP connection between two daemons; never reused within a process.
using LinkId = StrongId<struct LinkTag, std::uint64_t>;

/// What the links tell. All are called on the links' own thread and must not block.
struct PeerLinkHooks {
    /// A message arrived on \p link from \p from, whose membership is proved.
    std::function<void(LinkId link, DaemonId from, PeerMessage message)> onMessage;
    /// \p message for \p to was not sent and will not be.
    std::function<void(DaemonId to, PeerMessage message)> onUnsent;
    /// The link that this daemon opened to \p to broke after messages may have been sent on it.
    std::function<void(DaemonId to)> onLost;
    /// A link was refused or broke; for the log.
    std::function<void(const Error &error)> onError;
};

/// Keeps one link to each daemon that messages are sent to, opened when first needed, and accepts the others' links.
/// Both sides prove by a keyed digest that they belong to the fleet before any other message is read. Replies go back
/// on the link that brought the request.
///
/// \code
/// const std::unique_ptr<PeerLinks> links =
/// PeerLinks::Builder().identity(self).keys(keys).hooks(hooks).build().value(); links->send(daemon, request); \endcode
class PeerLinks
{
public:
    class Builder;

    ~PeerLinks();

    PeerLinks(const PeerLinks &) = delete;
    PeerLinks &operator=(const PeerLinks &) = delete;

    /// Begins to accept the others' links.
    void run();

    /// Sends \p message to \p to. Callable from any thread.
    void send(DaemonId to, PeerMessage message);

    /// Sends \p message on \p link; dropped if the link is gone. Callable from any thread.
    void reply(LinkId link, PeerMessage message);

    /// Closes all links and ends the thread.
    void stop();

private:
    struct Implementation;
    explicit PeerLinks(std::unique_ptr<Implementation> implementation);
    std::unique_ptr<Implementation> implementation_;
};

/// Collects what PeerLinks need.
class PeerLinks::Builder
{
public:
    /// This daemon; its peer address is where links are accepted.
    Builder &identity(const PeerIdentity &identity) noexcept;

    /// The first key signs, all are accepted.
    Builder &keys(std::vector<std::string> keys);

    /// All must be set.
    Builder &hooks(PeerLinkHooks hooks);

    /// \return the links, bound to their address; or Errc::Unavailable if the address cannot be bound.
    Result<std::unique_ptr<PeerLinks>> build();

private:
    PeerIdentity identity_;
    std::vector<std::string> keys_;
    PeerLinkHooks hooks_;
};

} // namespace sassafrasvane
