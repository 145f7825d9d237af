#include "operators/documents.h"

#include "settings/processsettings.h"

#include <algorithm>
#include <array>

namespace sassafrasvane
{

namespace
{

constexpr std::array<DocumentKind, 4> kinds{DocumentKind::Process,
                                            DocumentKind::Configuration,
                                            DocumentKind::ShardMap,
                                            DocumentKind::VmList};

template<typename T>
std::string faultsOf(const Result<T> &result)
{
    return result.has_error() ? result.error().detail : std::string();
}

/// The version does not matter for a check.
constexpr ConfigVersion anyVersion{1};

template<typename T>
Result<std::vector<std::string>> compare(const Result<T> &from, const Result<T> &to)
{
    for (const Result<T> *side : {&from, &to}) {
        if (side->has_error()) {
            return side->error();
        }
    }
    return differences(from.value(), to.value());
}

} // namespace

std::optional<DocumentKind> documentKind(std::string_view name) noexcept
{
    const auto found = std::find_if(
        kinds.begin(), kinds.end(), [name](DocumentKind kind) { return name == sassafrasvane::name(kind); });
    return found == kinds.end() ? std::nullopt : std::optional(*found);
}

std::string checkDocument(DocumentKind kind, std::string_view json)
{
    switch (kind) {
    case DocumentKind::Process:
        return faultsOf(readProcessSettings(json));
    case DocumentKind::Configuration:
        return faultsOf(readConfiguration(json, anyVersion));
    case DocumentKind::ShardMap:
        return faultsOf(readShardMap(json, anyVersion));
    case DocumentKind::VmList:
        return faultsOf(readVmList(json, anyVersion));
    }
    return "unknown kind of document";
}

DocumentKind guessKind(std::string_view json)
{
    std::array<std::size_t, kinds.size()> faults{};
    for (std::size_t i = 0; i < kinds.size(); ++i) {
        const std::string text = checkDocument(kinds[i], json);
        const std::size_t lines = static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
        faults[i] = text.empty() ? 0 : lines + 1;
    }
    return kinds[static_cast<std::size_t>(std::min_element(faults.begin(), faults.end()) - faults.begin())];
}

Result<std::vector<std::string>> differences(DocumentKind kind, std::string_view from, std::string_view to)
{
    switch (kind) {
    case DocumentKind::Configuration:
        return compare(readConfiguration(from, anyVersion), readConfiguration(to, anyVersion));
    case DocumentKind::ShardMap:
        return compare(readShardMap(from, anyVersion), readShardMap(to, anyVersion));
    case DocumentKind::VmList:
        return compare(readVmList(from, anyVersion), readVmList(to, anyVersion));
    case DocumentKind::Process:
        break;
    }
    return Error{Errc::InvalidConfiguration, Step::Settings, {}, "process settings are not published"};
}

} // namespace sassafrasvane
