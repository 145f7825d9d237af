#include "settings/textfile.h"

#include "jsonreader.h"

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <memory>

namespace sassafrasvane
{

namespace
{

struct CloseFile {
    void operator()(std::FILE *file) const { std::fclose(file); }
};

Error unreadable(const std::string &path)
{
    return Error{Errc::InvalidConfiguration, Step::Settings, {}, path + ": cannot be read: " + std::strerror(errno)};
}

} // namespace

Result<std::string> readTextFile(const std::string &path)
{
    const std::unique_ptr<std::FILE, CloseFile> file(std::fopen(path.c_str(), "rb"));
    if (file == nullptr) {
        return unreadable(path);
    }
    // One byte more than is allowed shows that the document is too large.
    std::string text(detail::maxDocumentBytes + 1, '\0');
    text.resize(std::fread(text.data(), 1, text.size(), file.get()));
    if (std::ferror(file.get()) != 0) {
        return unreadable(path);
    }
    return text;
}

} // namespace sassafrasvane
