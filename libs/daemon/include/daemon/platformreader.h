#pragma once

#include "base/address.h"
#include "base/error.h"
#include "base/ids.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

/// \file
/// Reads and watches values of the platform's configuration service.

namespace sassafrasvane
{

/// A value as the service gave it.
struct PublishedValue {
    std::string key;
    ConfigVersion version;
    /// JSON text.
    std::string value;
};

/// What the reader tells; called on its threads.
struct PlatformHooks {
    /// A value was read, newer than the last one read here or not.
    std::function<void(PublishedValue value)> onValue;
    /// A call failed; for the log.
    std::function<void(const Error &error)> onError;
};

/// Watches each key with one waiting call at a time.
///
/// \code
/// PlatformReader reader(address, {"configuration"}, hooks);
/// \endcode
class PlatformReader
{
public:
    /// \param keys names of the values. \param hooks both must be set.
    PlatformReader(const Address &address, const std::vector<std::string> &keys, PlatformHooks hooks);

    /// Ends the threads.
    ~PlatformReader();

    PlatformReader(const PlatformReader &) = delete;
    PlatformReader &operator=(const PlatformReader &) = delete;

    /// Ends the threads; called once.
    void stop();

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace sassafrasvane
