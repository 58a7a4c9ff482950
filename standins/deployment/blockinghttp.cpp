#include "standins/deployment/blockinghttp.h"

#include <memory>
#include <optional>
#include <thread>

#include "transport/transportfactory.h"

namespace ivyspar::lab {

namespace {

constexpr std::size_t LARGEST_BODY = 256 * 1024 * 1024;

RetVal<HttpResponse> toRetVal(HttpResult result)
{
    if (result) {
        return std::move(*result);
    }
    const bool isProven = result.error().stage == HttpFailureStage::NotSent;
    return makeError(isProven ? ErrorCode::Unavailable : ErrorCode::Unknown, result.error().text);
}

} // namespace

RetVal<HttpResponse> exchangeBlocking(const Endpoint &endpoint, const HttpRequest &request,
                                      Duration timeout)
{
    std::optional<RetVal<HttpResponse>> answer;
    // A loop belongs to one thread for good, so each exchange has a short-lived one.
    std::thread worker([&] {
        const auto loop = makeEventLoop();
        HttpClientLimits limits;
        limits.bodyBytes = LARGEST_BODY;
        const auto client = makeHttpClient(*loop, limits);
        loop->spawn([&] {
            answer = toRetVal(client->exchange(endpoint, request, timeout, nullptr));
            loop->stop();
        });
        loop->run();
    });
    worker.join();
    return std::move(*answer);
}

} // namespace ivyspar::lab
