#pragma once

#include <string>

namespace ivyspar {

class ITicketIssuer
{
public:
    virtual ~ITicketIssuer() = default;

    /// Returns a new ticket; a request that bears it runs at most once.
    virtual std::string issueTicket() = 0;
};

} // namespace ivyspar
