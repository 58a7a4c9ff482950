#pragma once

#include <cstddef>
#include <memory>
#include <string_view>

#include "coordination/memory/ibodybudget.h"
#include "state/http.h"

namespace ivyspar {

enum class HttpParseStatus {
    NeedMore,
    Done,
    HeaderTooLarge,
    BodyTooLarge,
    Malformed, ///< Also a message whose end is indistinguishable from a lost connection.
    NoRoom, ///< The message does not fit into the memory for bodies.
};

struct HttpParseLimits
{
    std::size_t headerBytes = 0;
    std::size_t bodyBytes = 0;
};

/// Parses one request incrementally. Hop-by-hop header fields (Connection and those it names,
/// Transfer-Encoding, …) and trailers are left out of the result.
class HttpRequestParser
{
public:
    /// Counts the bytes of the request by `charge`, unless that is null.
    explicit HttpRequestParser(const HttpParseLimits &limits, BodyChargePtr charge = nullptr);
    ~HttpRequestParser();
    HttpRequestParser(const HttpRequestParser &) = delete;
    HttpRequestParser &operator=(const HttpRequestParser &) = delete;

    /// Sets `consumed` to the number of bytes parsed; the caller passes the rest again.
    HttpParseStatus put(std::string_view input, std::size_t &consumed);
    /// Whether the header is complete and the client expects "100 Continue".
    bool expectsContinue() const;
    // Once the request is done:
    bool isKeepAlive() const;
    bool isVersion10() const;
    HttpRequest &request();

private:
    struct Private;
    std::unique_ptr<Private> m_p;
};

/// Parses one response like HttpRequestParser parses a request. Each interim (1xx) response counts
/// as a separate response.
class HttpResponseParser
{
public:
    /// `hasBody` is false for the response to a HEAD request. With `acceptsUnframed` a body without
    /// length is read until `finish`. Counts the bytes of the response by `charge`, unless that is
    /// null.
    HttpResponseParser(const HttpParseLimits &limits, bool hasBody, bool acceptsUnframed = false,
                       BodyChargePtr charge = nullptr);
    ~HttpResponseParser();
    HttpResponseParser(const HttpResponseParser &) = delete;
    HttpResponseParser &operator=(const HttpResponseParser &) = delete;

    HttpParseStatus put(std::string_view input, std::size_t &consumed);
    /// To be called at an orderly end of the connection. `Done` if that completes the response.
    HttpParseStatus finish();
    // Once the response is done:
    bool isKeepAlive() const;
    HttpResponse &response();

private:
    struct Private;
    std::unique_ptr<Private> m_p;
};

} // namespace ivyspar
