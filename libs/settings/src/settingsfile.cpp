#include "settings/settingsfile.h"

#include <sys/stat.h>

#include <utility>

namespace sassafrasvane
{

SettingsFile::SettingsFile(std::string path) : path_(std::move(path)), known_(version())
{
}

bool SettingsFile::hasChanged()
{
    const std::optional<Version> found = version();
    if (!found || found == known_) {
        return false;
    }
    known_ = found;
    return true;
}

std::optional<SettingsFile::Version> SettingsFile::version() const
{
    constexpr std::int64_t nanosecondsPerSecond = 1'000'000'000;
    struct stat status = {};
    if (::stat(path_.c_str(), &status) != 0) {
        return std::nullopt;
    }
    Version version;
    version.writtenNs = status.st_mtim.tv_sec * nanosecondsPerSecond + status.st_mtim.tv_nsec;
    version.size = static_cast<std::uint64_t>(status.st_size);
    version.inode = status.st_ino;
    return version;
}

} // namespace sassafrasvane
