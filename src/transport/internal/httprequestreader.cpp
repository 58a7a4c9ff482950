#include "transport/internal/httprequestreader.h"

#include <utility>

namespace ivyspar {

HttpParseStatus HttpRequestReader::read(std::string_view input, const HttpParseLimits &limits,
                                        IBodyBudget *budget, std::size_t &consumed)
{
    consumed = 0;
    if (hasEnded()) {
        return m_status;
    }
    if (!m_parser) {
        m_parser = std::make_unique<HttpRequestParser>(
            limits, budget ? budget->open(MessageKind::Request, {}) : nullptr);
    }
    m_status = m_parser->put(input, consumed);
    m_bytes += consumed;
    return m_status;
}

ReceivedRequest HttpRequestReader::take()
{
    ReceivedRequest received;
    received.framing.isKeepAlive = m_parser->isKeepAlive();
    received.framing.isVersion10 = m_parser->isVersion10();
    received.request = std::move(m_parser->request());
    received.framing.isHead = received.request.method == "HEAD";
    m_parser.reset();
    m_status = HttpParseStatus::NeedMore;
    m_bytes = 0;
    return received;
}

} // namespace ivyspar
