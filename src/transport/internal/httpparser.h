#pragma once

#include <cstddef>
#include <memory>
#include <string_view>

#include "state/http.h"

namespace ivyspar {

enum class HttpParseStatus {
    NeedMore,
    Done,
    HeaderTooLarge,
    BodyTooLarge,
    Malformed, ///< Also a message whose end cannot be told from a lost connection.
};

struct HttpParseLimits
{
    std::size_t headerBytes = 0;
    std::size_t bodyBytes = 0;
};

/// Reads one request from pieces of input. Header fields that concern only one connection
/// (Connection and those it names, Transfer-Encoding, …) and trailers are left out of the result.
class HttpRequestParser
{
public:
    explicit HttpRequestParser(const HttpParseLimits &limits);
    ~HttpRequestParser();
    HttpRequestParser(const HttpRequestParser &) = delete;
    HttpRequestParser &operator=(const HttpRequestParser &) = delete;

    /// Sets `consumed` to the bytes of `input` that were taken; the rest is to be given again.
    HttpParseStatus put(std::string_view input, std::size_t &consumed);
    /// Whether the header is complete and the client waits for "100 Continue".
    bool expectsContinue() const;
    // Once the request is done:
    bool isKeepAlive() const;
    bool isVersion10() const;
    HttpRequest &request();

private:
    struct Private;
    std::unique_ptr<Private> m_p;
};

/// Reads one response, as HttpRequestParser does a request. Interim (1xx) responses are responses
/// of their own.
class HttpResponseParser
{
public:
    /// `hasBody` is false for the response to a HEAD request. With `acceptsUnframed` a body without
    /// length is read until `finish`.
    HttpResponseParser(const HttpParseLimits &limits, bool hasBody, bool acceptsUnframed = false);
    ~HttpResponseParser();
    HttpResponseParser(const HttpResponseParser &) = delete;
    HttpResponseParser &operator=(const HttpResponseParser &) = delete;

    HttpParseStatus put(std::string_view input, std::size_t &consumed);
    /// The connection ended in good order. `Done` if the response may end so.
    HttpParseStatus finish();
    // Once the response is done:
    bool isKeepAlive() const;
    HttpResponse &response();

private:
    struct Private;
    std::unique_ptr<Private> m_p;
};

} // namespace ivyspar
