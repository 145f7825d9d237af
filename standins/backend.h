#pragma once

#include "httpserver.h"
#include "searcherserver.h"

#include <map>
#include <memory>

/// \file
/// All stand-in searchers of one process, with their control.

namespace sassafrasvane
{

/// Hosts searchers, each at its own address, and serves /control.
///
/// \code
/// StandinBackEnd backEnd(file, seed);
/// const Result<Address> control = backEnd.start();
/// \endcode
class StandinBackEnd
{
public:
    /// \param seed of the random choices of all searchers.
    StandinBackEnd(const StandinFile &file, std::uint64_t seed);

    /// Listens at all addresses. \return the address of the control, or the error of the first that cannot be bound.
    Result<Address> start();

    /// The address at which searcher \p id listens; port 0 if there is none.
    Address addressOf(std::uint32_t id) const;

private:
    void serveRecords(httplib::Response &response) const;

    Address controlAddress_;
    std::map<std::uint32_t, std::unique_ptr<SearcherServer>> searchers_;
    std::map<std::uint32_t, Address> addresses_;
    HttpServer control_;
};

} // namespace sassafrasvane
