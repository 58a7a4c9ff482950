#pragma once

#include "app/internal/gate/iticketissuer.h"
#include "state/http.h"

namespace ivyspar {

/// Issues tickets to callers, docs/INTERFACES.md.
class TicketEndpoint
{
public:
    /// `issuer` outlives the endpoint.
    explicit TicketEndpoint(ITicketIssuer &issuer)
        : m_issuer(issuer)
    {
    }

    static bool isAtEndpoint(const HttpRequest &request);
    HttpResponse handle(const HttpRequest &request);

private:
    ITicketIssuer &m_issuer;
};

} // namespace ivyspar
