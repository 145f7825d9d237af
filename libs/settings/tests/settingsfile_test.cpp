#include "settings/settingsfile.h"

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>

#include <unistd.h>

namespace sassafrasvane
{

namespace
{

/// A file that is removed at the end of the test.
class TemporaryFile
{
public:
    TemporaryFile()
        : path_(std::filesystem::temp_directory_path() / ("settingsfile_test-" + std::to_string(::getpid())))
    {
    }
    ~TemporaryFile() { std::filesystem::remove(path_); }

    std::string path() const { return path_.string(); }
    void write(const std::string &text) const { std::ofstream(path_) << text; }

private:
    std::filesystem::path path_;
};

} // namespace

BOOST_AUTO_TEST_CASE(writtenFileHasChangedOnce)
{
    const TemporaryFile file;
    file.write("first");
    SettingsFile watched(file.path());
    BOOST_TEST(!watched.hasChanged());
    file.write("second one");
    BOOST_TEST(watched.hasChanged());
    BOOST_TEST(!watched.hasChanged());
}

BOOST_AUTO_TEST_CASE(replacedFileHasChangedAndMissingOneHasNot)
{
    const TemporaryFile file;
    file.write("first");
    SettingsFile watched(file.path());
    std::filesystem::rename(file.path(), file.path() + ".old");
    BOOST_TEST(!watched.hasChanged());
    file.write("other");
    BOOST_TEST(watched.hasChanged());
    std::filesystem::remove(file.path() + ".old");
}

} // namespace sassafrasvane
