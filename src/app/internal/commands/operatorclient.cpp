#include "app/internal/commands/operatorclient.h"

#include <optional>
#include <thread>

#include "state/durationtext.h"
#include "transport/transportfactory.h"

namespace ivyspar {

namespace {

constexpr std::uint16_t OK = 200;
constexpr std::size_t MAX_BODY_BYTES = 16 * 1024 * 1024;

HttpResult exchange(const Endpoint &endpoint, const HttpRequest &request, Duration timeout)
{
    std::optional<HttpResult> result;
    // An event loop is bound to the thread of its first use, so it gets a thread of its own.
    std::thread worker([&] {
        const auto loop = makeEventLoop();
        HttpClientLimits limits;
        limits.bodyBytes = MAX_BODY_BYTES;
        const auto client = makeHttpClient(*loop, limits);
        loop->spawn([&] {
            result = client->exchange(endpoint, request, timeout, nullptr);
            loop->stop();
        });
        loop->run();
    });
    worker.join();
    return std::move(*result);
}

std::string describe(const Endpoint &endpoint, const HttpFailure &failure, Duration timeout)
{
    switch (failure.cause) {
    case HttpFailureCause::Connect:
        return failure.text;
    case HttpFailureCause::Timeout:
        return endpoint.text() + ": no answer within " + toText(timeout);
    default:
        return endpoint.text() + ": " + failure.text;
    }
}

RetVal<std::string> exchangeForBody(const Endpoint &endpoint, const HttpRequest &request,
                                    Duration timeout)
{
    HttpResult result = exchange(endpoint, request, timeout);
    if (!result) {
        return makeError(ErrorCode::Unavailable, describe(endpoint, result.error(), timeout));
    }
    if (result->status != OK) {
        return makeError(ErrorCode::Unavailable,
                         endpoint.text() + ": answered with status "
                             + std::to_string(result->status));
    }
    return std::move(result->body);
}

} // namespace

RetVal<std::string> fetchFromOperatorEndpoint(const Endpoint &endpoint, const std::string &target,
                                              Duration timeout)
{
    return exchangeForBody(endpoint, { "GET", target, {}, {} }, timeout);
}

RetVal<std::string> postToOperatorEndpoint(const Endpoint &endpoint, const std::string &target,
                                           Duration timeout)
{
    return exchangeForBody(endpoint, { "POST", target, {}, {} }, timeout);
}

} // namespace ivyspar
