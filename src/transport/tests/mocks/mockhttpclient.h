#pragma once

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "transport/ihttpclient.h"

namespace ivyspar {

/// Returns prepared results and records the calls. Never suspends by itself; `answer` may.
class MockHttpClient : public IHttpClient
{
public:
    struct Call
    {
        Endpoint endpoint;
        HttpRequest request;
        Duration timeout;
        HttpCancellationPtr cancellation;
    };

    /// Produces the result if set; otherwise `results` are returned in order, then status 200.
    std::function<HttpResult(const Call &)> answer;
    std::deque<HttpResult> results;
    std::vector<Call> calls;
    /// What `isListening` returns, and the endpoints that it was called with.
    bool isUp = true;
    std::vector<Endpoint> probed;
    std::map<Endpoint, std::size_t> limits;
    std::map<Endpoint, std::size_t> preconnected;

    void failNext(HttpFailureStage stage, HttpFailureCause cause)
    {
        results.emplace_back(tl::unexpect, HttpFailure{ stage, cause, "mock" });
    }

    HttpResult exchange(const Endpoint &endpoint, const HttpRequest &request, Duration timeout,
                        HttpCancellationPtr cancellation) override
    {
        calls.push_back({ endpoint, request, timeout, std::move(cancellation) });
        if (answer) {
            const Call call = calls.back();
            return answer(call);
        }
        if (results.empty()) {
            return HttpResponse();
        }
        HttpResult result = std::move(results.front());
        results.pop_front();
        return result;
    }

    bool isListening(const Endpoint &endpoint) override
    {
        probed.push_back(endpoint);
        return isUp;
    }

    void setConnectionLimit(const Endpoint &endpoint, std::size_t connections) override
    {
        limits[endpoint] = connections;
    }

    void preconnect(const Endpoint &endpoint, std::size_t connections) override
    {
        preconnected[endpoint] = connections;
    }
};

} // namespace ivyspar
