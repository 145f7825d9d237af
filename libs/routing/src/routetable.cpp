#include "routing/routetable.h"

#include <algorithm>
#include <cctype>

namespace sassafrasvane
{

namespace
{

std::string normalizedHost(std::string_view host)
{
    std::string normalized(host.substr(0, host.find(':')));
    std::transform(normalized.begin(), normalized.end(), normalized.begin(), [](unsigned char letter) {
        return static_cast<char>(std::tolower(letter));
    });
    return normalized;
}

} // namespace

std::shared_ptr<const RouteTable> RouteTable::create(RoutingConfiguration configuration)
{
    return std::shared_ptr<const RouteTable>(new RouteTable(std::move(configuration)));
}

RouteTable::RouteTable(RoutingConfiguration configuration) : configuration_(std::move(configuration))
{
    for (const RequestRoute &route : configuration_.routes) {
        routes_.emplace(normalizedHost(route.host) + route.pathPrefix, &route);
        longestPrefix_ = std::max(longestPrefix_, route.pathPrefix.size());
    }
    for (const BackendLimits &limits : configuration_.backends) {
        backends_.emplace(limits.name, &limits);
    }
    if (configuration_.tenants) {
        for (const Tenant &tenant : *configuration_.tenants) {
            addKeys(tenant);
        }
    }
}

const RequestRoute *RouteTable::match(std::string_view host, std::string_view target) const
{
    const std::string_view path = target.substr(0, target.find_first_of("?#"));
    std::string key = normalizedHost(host);
    const std::size_t hostLength = key.size();
    // No longer prefix can be a route's, so that a path of many slashes costs no more than the routes' own prefixes.
    key += path.substr(0, longestPrefix_);
    std::size_t slash = key.rfind('/');
    while (slash != std::string::npos && slash >= hostLength) {
        key.resize(slash + 1);
        const auto found = routes_.find(key);
        if (found != routes_.end()) {
            return found->second;
        }
        if (slash == hostLength) {
            break;
        }
        slash = key.rfind('/', slash - 1);
    }
    return nullptr;
}

void RouteTable::addKeys(const Tenant &tenant)
{
    for (const ApiKeyDigest &key : tenant.keys) {
        const auto [known, isNew] = tenants_.emplace(key, &tenant);
        if (!isNew) {
            repeatedKeys_.push_back({known->second, &tenant});
        }
    }
}

const Tenant *RouteTable::tenantOf(const ApiKeyDigest &digest) const
{
    const auto found = tenants_.find(digest);
    return found == tenants_.end() ? nullptr : found->second;
}

const BackendLimits *RouteTable::backend(std::string_view backend) const
{
    const auto found = backends_.find(backend);
    return found == backends_.end() ? nullptr : found->second;
}

} // namespace sassafrasvane
