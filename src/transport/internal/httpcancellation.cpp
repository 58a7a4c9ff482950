#include "transport/ihttpclient.h"

#include <utility>

namespace ivyspar {

void HttpCancellation::cancel()
{
    m_isCancelled = true;
    if (auto action = std::exchange(m_action, {})) {
        action();
    }
}

void HttpCancellation::setAction(std::function<void()> action)
{
    m_action = std::move(action);
}

} // namespace ivyspar
