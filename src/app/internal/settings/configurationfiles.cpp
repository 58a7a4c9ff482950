#include "app/internal/settings/configurationfiles.h"

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <memory>

#include "protocol/configurationreaderfactory.h"
#include "state/result.h"

namespace ivyspar {

namespace {

/// Far more than the reader accepts; prevents a wrong path, such as a device, from exhausting the
/// memory.
constexpr std::size_t MAX_FILE_BYTES = 1024 * 1024;

struct FileCloser
{
    void operator()(std::FILE *file) const { std::fclose(file); }
};

auto systemError(const std::string &path)
{
    return makeError(ErrorCode::NotFound, path + ": " + std::strerror(errno));
}

RetVal<std::string> readFile(const std::string &path)
{
    const std::unique_ptr<std::FILE, FileCloser> file(std::fopen(path.c_str(), "rb"));
    if (!file) {
        return systemError(path);
    }
    std::string text(MAX_FILE_BYTES + 1, '\0');
    text.resize(std::fread(text.data(), 1, text.size(), file.get()));
    if (std::ferror(file.get()) != 0) {
        return systemError(path);
    }
    if (text.size() > MAX_FILE_BYTES) {
        return makeError(ErrorCode::InvalidArgument,
                         path + ": has more than " + std::to_string(MAX_FILE_BYTES) + " bytes");
    }
    return text;
}

} // namespace

ConfigurationFiles loadConfiguration(const std::string &inventoryFile, const std::string &rulesFile)
{
    ConfigurationFiles files;
    const RetVal<std::string> inventory = readFile(inventoryFile);
    const RetVal<std::string> rules = readFile(rulesFile);
    for (const auto *file : { &inventory, &rules }) {
        if (!*file) {
            files.errors.push_back(file->error().text);
        }
    }
    if (!files.errors.empty()) {
        return files;
    }
    files.text = { *inventory, *rules };
    const ReadConfiguration result = makeConfigurationReader()->read(
        files.text, inventoryFile, rulesFile, ConfigurationVersion());
    for (const FileProblem &problem : result.problems) {
        files.errors.push_back(problem.text());
    }
    files.configuration = result.configuration;
    return files;
}

} // namespace ivyspar
