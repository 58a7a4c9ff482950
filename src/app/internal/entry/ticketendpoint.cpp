#include "app/internal/entry/ticketendpoint.h"

#include <string>
#include <utility>

namespace ivyspar {

namespace {

constexpr char TICKETS_PATH[] = "/tickets";
constexpr std::uint16_t CREATED = 201;
constexpr std::uint16_t METHOD_NOT_ALLOWED = 405;

HttpResponse makeText(std::uint16_t status, std::string text)
{
    return HttpResponse{ status, { { "Content-Type", "text/plain" } }, std::move(text) + '\n' };
}

} // namespace

bool TicketEndpoint::isAtEndpoint(const HttpRequest &request)
{
    return request.target == TICKETS_PATH;
}

HttpResponse TicketEndpoint::handle(const HttpRequest &request)
{
    if (request.method != "POST") {
        return makeText(METHOD_NOT_ALLOWED, "tickets are handed out by POST");
    }
    return makeText(CREATED, m_issuer.issueTicket());
}

} // namespace ivyspar
