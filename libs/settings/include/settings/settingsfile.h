#pragma once

#include <cstdint>
#include <optional>
#include <string>

/// \file
/// Notices that a settings file was written.

namespace sassafrasvane
{

/// Watches one file, which may be replaced without a signal.
///
/// \code
/// if (file.hasChanged()) { reload(); }
/// \endcode
class SettingsFile
{
public:
    /// \param path the file, as it is read now.
    explicit SettingsFile(std::string path);

    const std::string &path() const noexcept { return path_; }

    /// True if the file was written since the last call, or since the construction. A file that is missing for a time
    /// counts as unchanged.
    bool hasChanged();

private:
    /// What tells one version of a file from another.
    struct Version {
        std::int64_t writtenNs = 0;
        std::uint64_t size = 0;
        std::uint64_t inode = 0;

        bool operator==(const Version &) const noexcept = default;
    };

    std::optional<Version> version() const;

    std::string path_;
    std::optional<Version> known_;
};

} // namespace sassafrasvane
