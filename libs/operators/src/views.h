#pragma once

#include "base/address.h"
#include "control/messages.h"

#include <string>
#include <vector>

/// \file
/// The daemons' replies as text for people.

namespace sassafrasvane
{

/// A reply with the daemon that gave it.
template<typename Message>
struct FromDaemon {
    /// The daemon's address for operators.
    Address daemon;
    Message message;
};

/// Tables of the daemons, their peers, their searchers and the classes against their targets.
std::string statusText(const std::vector<FromDaemon<DaemonStatus>> &replies);

/// The spans of all daemons as a tree, then their decisions in the order of time.
std::string whyText(const std::vector<FromDaemon<WhyReply>> &replies);

/// Table of the advice that each daemon gives.
std::string entriesText(const std::vector<FromDaemon<EntriesReply>> &replies);

/// Table of the planned stops.
std::string drainText(const std::vector<FromDaemon<DrainReply>> &replies);

} // namespace sassafrasvane
