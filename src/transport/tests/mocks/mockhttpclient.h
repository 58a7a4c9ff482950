#pragma once

#include <deque>
#include <utility>
#include <vector>

#include "transport/ihttpclient.h"

namespace ivyspar {

/// Gives prepared results in turn and keeps what was asked.
class MockHttpClient : public IHttpClient
{
public:
    struct Call
    {
        Endpoint endpoint;
        HttpRequest request;
        Duration timeout{ 0 };
    };

    HttpResult exchange(const Endpoint &endpoint, const HttpRequest &request, Duration timeout,
                        HttpCancellationPtr /*cancellation*/) override
    {
        calls.push_back({ endpoint, request, timeout });
        if (results.empty()) {
            return tl::unexpected<HttpFailure>(
                HttpFailure{ HttpFailureStage::NotSent, HttpFailureCause::Connect, "no result" });
        }
        HttpResult result = std::move(results.front());
        results.pop_front();
        return result;
    }
    void setConnectionLimit(const Endpoint &, std::size_t) override { }
    void warm(const Endpoint &, std::size_t) override { }

    std::deque<HttpResult> results;
    std::vector<Call> calls;
};

} // namespace ivyspar
