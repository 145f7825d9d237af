#include "entry/keyfault.h"

namespace sassafrasvane
{

const char *name(KeyFault fault) noexcept
{
    switch (fault) {
    case KeyFault::Missing:
        return "missing_key";
    case KeyFault::Unreadable:
        return "unreadable_key";
    case KeyFault::Unknown:
        break;
    }
    return "unknown_key";
}

std::optional<KeyFault> keyFault(const RouteTable &routes, const RequestRoute &route, const RequestMetadata &metadata)
{
    if (!routes.configuration().tenants) {
        return std::nullopt;
    }
    if (metadata.isApiKeyUnreadable) {
        return KeyFault::Unreadable;
    }
    if (!metadata.apiKey) {
        return route.isPublic ? std::nullopt : std::optional(KeyFault::Missing);
    }
    return routes.tenantOf(*metadata.apiKey) == nullptr ? std::optional(KeyFault::Unknown) : std::nullopt;
}

} // namespace sassafrasvane
