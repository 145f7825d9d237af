#pragma once

#include "routing/configuration.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// \file
/// Finds the route and the tenant of a request.

namespace sassafrasvane
{

/// An API key that is listed more than once.
struct RepeatedKey {
    /// The first tenant that lists the key; it holds it.
    const Tenant *holder = nullptr;
    /// A tenant that lists it too; the same one if it lists the key twice.
    const Tenant *other = nullptr;
};

/// One version of the configuration, indexed for lookups. It is immutable, so that a request uses the same version
/// throughout.
///
/// \code
/// const std::shared_ptr<const RouteTable> table = RouteTable::create(std::move(configuration));
/// const RequestRoute *route = table->match("search.example", "/boards/today?page=2");
/// \endcode
class RouteTable
{
public:
    static std::shared_ptr<const RouteTable> create(RoutingConfiguration configuration);

    RouteTable(const RouteTable &) = delete;
    RouteTable &operator=(const RouteTable &) = delete;

    /// Returns the route of \p host with the longest path prefix that matches the path of \p target.
    /// \param host case-insensitive, with an optional port. \param target path with an optional query.
    /// \return nullptr if no route matches.
    const RequestRoute *match(std::string_view host, std::string_view target) const;

    /// Returns the limits of \p backend; nullptr if the configuration does not contain it.
    const BackendLimits *backend(std::string_view backend) const;

    /// Returns the tenant that holds the API key with \p digest: the first one that lists it. nullptr if there is none.
    const Tenant *tenantOf(const ApiKeyDigest &digest) const;

    /// API keys that are listed more than once.
    const std::vector<RepeatedKey> &repeatedKeys() const noexcept { return repeatedKeys_; }

    const RoutingConfiguration &configuration() const noexcept { return configuration_; }
    std::uint64_t version() const noexcept { return configuration_.version; }

private:
    struct TextHash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const noexcept { return std::hash<std::string_view>{}(text); }
    };
    template<typename Value>
    using TextMap = std::unordered_map<std::string, Value, TextHash, std::equal_to<>>;

    explicit RouteTable(RoutingConfiguration configuration);
    void addKeys(const Tenant &tenant);

    RoutingConfiguration configuration_;
    /// Key: host followed by path prefix. Each prefix begins with a slash, which separates the two.
    TextMap<const RequestRoute *> routes_;
    /// Size of the routes' longest path prefix.
    std::size_t longestPrefix_ = 0;
    TextMap<const BackendLimits *> backends_;
    std::unordered_map<ApiKeyDigest, const Tenant *, ApiKeyDigestHash> tenants_;
    std::vector<RepeatedKey> repeatedKeys_;
};

} // namespace sassafrasvane
