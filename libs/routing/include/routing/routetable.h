#pragma once

#include "routing/configuration.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

/// \file
/// Finds the route of a request.

namespace sassafrasvane
{

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

    RoutingConfiguration configuration_;
    /// Key: host followed by path prefix. Each prefix begins with a slash, which separates the two.
    TextMap<const RequestRoute *> routes_;
    TextMap<const BackendLimits *> backends_;
};

} // namespace sassafrasvane
