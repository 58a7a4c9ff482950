#include "app/readyfile.h"

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fstream>

#include <nlohmann/json.hpp>

namespace ivyspar {

namespace {

auto systemError(const std::string &path)
{
    return makeError(ErrorCode::Unavailable, path + ": " + std::strerror(errno));
}

std::string toJson(const ListeningEndpoints &endpoints)
{
    const nlohmann::json json{ { "caller", endpoints.caller.text() },
                               { "operator", endpoints.operators.text() },
                               { "upstream", endpoints.upstream.text() },
                               { "peer", endpoints.peer.text() } };
    return json.dump();
}

} // namespace

Ret writeReadyFile(const std::string &path, const ListeningEndpoints &endpoints)
{
    // A reader that polls for the file could otherwise see it empty or partly written. A rename
    // within one folder is atomic.
    const std::string temporary = path + ".tmp";
    std::ofstream stream(temporary);
    stream << toJson(endpoints) << std::endl;
    if (!stream) {
        return systemError(temporary);
    }
    stream.close();
    if (std::rename(temporary.c_str(), path.c_str()) != 0) {
        return systemError(path);
    }
    return {};
}

} // namespace ivyspar
