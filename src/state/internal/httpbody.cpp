#include "state/httpbody.h"

namespace ivyspar {

HttpBody::HttpBody(std::string bytes)
    : HttpBody(std::move(bytes), nullptr)
{
}

HttpBody::HttpBody(std::string bytes, MemoryChargePtr charge)
{
    if (bytes.empty()) {
        return;
    }
    m_shared = new Shared;
    m_shared->bytes = std::move(bytes);
    m_shared->charge = std::move(charge);
}

void HttpBody::setCharge(MemoryChargePtr charge)
{
    if (m_shared) {
        m_shared->charge = std::move(charge);
    }
}

const std::string &HttpBody::text() const
{
    static const std::string EMPTY;
    return m_shared ? m_shared->bytes : EMPTY;
}

HttpBody &HttpBody::operator+=(std::string_view more)
{
    std::string bytes = text();
    bytes.append(more);
    *this = HttpBody(std::move(bytes));
    return *this;
}

} // namespace ivyspar
