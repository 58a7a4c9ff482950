#include "state/http.h"

#include <strings.h>

#include <algorithm>

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

} // namespace ivyspar
