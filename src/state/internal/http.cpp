#include "state/http.h"

#include <strings.h>

#include <algorithm>
#include <cctype>

namespace ivyspar {

bool isSameHeader(const std::string &a, const std::string &b)
{
    return a.size() == b.size() && strcasecmp(a.c_str(), b.c_str()) == 0;
}

const std::string *findHeader(const std::vector<HttpHeader> &headers, const std::string &name)
{
    const auto found = std::find_if(headers.begin(), headers.end(), [&](const HttpHeader &h) {
        return isSameHeader(h.name, name);
    });
    return found == headers.end() ? nullptr : &found->value;
}

void removeHeader(std::vector<HttpHeader> &headers, const std::string &name)
{
    headers.erase(std::remove_if(headers.begin(), headers.end(),
                                 [&](const HttpHeader &h) { return isSameHeader(h.name, name); }),
                  headers.end());
}

std::string hostNameOf(const std::string &host)
{
    std::string name = host.substr(0, host.find(':'));
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return name;
}

} // namespace ivyspar
