#include "bytes.h"

#include "settings/processsettings.h"
#include "settings/published.h"

/// \file
/// Any text as a published value or as process settings.

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace sassafrasvane;
    const std::string_view text = textOf(data, size);
    const ConfigVersion version{7};
    const Result<Configuration> configuration = readConfiguration(text, version);
    check(configuration.has_error() || configuration.value().version == version);
    const Result<ShardMap> map = readShardMap(text, version);
    if (map.has_value()) {
        for (const BackEndMap &backEnd : map.value().backEnds()) {
            for (const IndexMap &index : backEnd.versions) {
                std::uint64_t width = 0;
                for (const Part &part : index.parts) {
                    width += part.width();
                    check(index.indexOf(part.id).has_value() && !part.replicas.empty());
                }
                check(width == index.width);
            }
        }
    }
    const Result<VmList> vms = readVmList(text, version);
    check(vms.has_error() || vms.value().version == version);
    const Result<ProcessSettings> settings = readProcessSettings(text);
    check(settings.has_error() || !settings.value().peerKeys.empty());
    return 0;
}
