#include "protocol/internal/ownreportdialect.h"

#include "protocol/internal/announcementreader.h"

namespace ivyspar {

namespace {

constexpr char ANNOUNCE_PATH[] = "/announce";
constexpr std::uint16_t NO_CONTENT = 204;
constexpr std::uint16_t BAD_REQUEST = 400;
constexpr std::uint16_t METHOD_NOT_ALLOWED = 405;

} // namespace

bool OwnReportDialect::isReport(const HttpRequest &request) const
{
    return request.target == ANNOUNCE_PATH;
}

RetVal<UpstreamReport> OwnReportDialect::read(const HttpRequest &request) const
{
    if (request.method != "PUT") {
        return makeError(ErrorCode::NotFound, "announcements are PUT");
    }
    return readAnnouncement(request.body);
}

HttpResponse OwnReportDialect::acknowledge(const Ret &result) const
{
    if (result) {
        return HttpResponse{ NO_CONTENT, {}, {} };
    }
    const bool isWrongMethod = result.error().code == ErrorCode::NotFound;
    return HttpResponse{ isWrongMethod ? METHOD_NOT_ALLOWED : BAD_REQUEST,
                         { { "Content-Type", "text/plain" } },
                         result.error().text + '\n' };
}

} // namespace ivyspar
