#pragma once

#include "base/address.h"
#include "base/error.h"
#include "base/time.h"
#include "fleet/configdistributor.h"

#include <functional>
#include <memory>
#include <string>

/// \file
/// Reads values of the platform's configuration service.

namespace sassafrasvane
{

/// The service's answer to a read.
struct PlatformValue {
    ConfigKey key = ConfigKey::Configuration;
    ConfigVersion version;
    /// JSON text; empty if the version is not above the one that the read named.
    std::string text;
    /// When the read was sent.
    TimePoint askedAt;
};

/// What the reader tells; called on its threads, one of them for each read.
struct PlatformHooks {
    std::function<void(PlatformValue value)> onValue;
    std::function<void(ConfigKey key, const Error &error)> onFailed;
};

/// Makes the reads that it is told to, one at a time for each key, each on a connection that is kept.
///
/// \code
/// PlatformReader reader(address, hooks);
/// reader.read({ConfigKey::Configuration, version, 1s});
/// \endcode
class PlatformReader
{
public:
    /// \param address of the service. \param hooks both must be set.
    PlatformReader(const Address &address, PlatformHooks hooks);

    /// Ends the threads.
    ~PlatformReader();

    PlatformReader(const PlatformReader &) = delete;
    PlatformReader &operator=(const PlatformReader &) = delete;

    /// Makes a read; answered once by a hook, unless the reader stops before. Callable from any thread.
    void read(const ServiceRead &read);

    /// Ends the threads.
    void stop();

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace sassafrasvane
