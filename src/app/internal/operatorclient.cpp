#include "app/internal/operatorclient.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace ivyspar {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::uint64_t MAX_BODY_BYTES = 16 * 1024 * 1024;

/// One exchange on an io_context of its own.
class Fetch
{
public:
    Fetch(const Endpoint &endpoint, const std::string &target, Duration timeout)
        : m_endpoint(endpoint)
        , m_stream(m_context)
        , m_request(http::verb::get, target, 11)
    {
        m_request.set(http::field::host, endpoint.text());
        m_request.set(http::field::connection, "close");
        m_parser.body_limit(MAX_BODY_BYTES);
        m_stream.expires_after(timeout);
    }

    RetVal<std::string> run()
    {
        connect();
        m_context.run();
        if (m_error) {
            return makeError(ErrorCode::Unavailable, m_endpoint.text() + ": " + m_error.message());
        }
        if (m_parser.get().result() != http::status::ok) {
            return makeError(ErrorCode::Unavailable,
                             m_endpoint.text() + ": answered with status "
                                 + std::to_string(m_parser.get().result_int()));
        }
        return std::move(m_parser.get().body());
    }

private:
    void connect()
    {
        const auto address = asio::ip::make_address(m_endpoint.address, m_error);
        if (m_error) {
            return;
        }
        m_stream.async_connect(asio::ip::tcp::endpoint(address, m_endpoint.port),
                               [this](beast::error_code error) {
                                   m_error = error;
                                   send();
                               });
    }

    void send()
    {
        if (m_error) {
            return;
        }
        http::async_write(m_stream, m_request, [this](beast::error_code error, std::size_t) {
            m_error = error;
            receive();
        });
    }

    void receive()
    {
        if (m_error) {
            return;
        }
        http::async_read(m_stream, m_buffer, m_parser,
                         [this](beast::error_code error, std::size_t) { m_error = error; });
    }

    Endpoint m_endpoint;
    asio::io_context m_context;
    beast::tcp_stream m_stream;
    http::request<http::empty_body> m_request;
    beast::flat_buffer m_buffer;
    http::response_parser<http::string_body> m_parser;
    beast::error_code m_error;
};

} // namespace

RetVal<std::string> fetchFromOperatorEndpoint(const Endpoint &endpoint, const std::string &target,
                                              Duration timeout)
{
    return Fetch(endpoint, target, timeout).run();
}

} // namespace ivyspar
