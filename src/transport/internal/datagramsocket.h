#pragma once

#include <array>
#include <memory>

#include <boost/asio/ip/udp.hpp>

#include "transport/idatagramsocket.h"
#include "transport/internal/eventloop.h"

namespace ivyspar {

class DatagramSocket : public IDatagramSocket
{
public:
    explicit DatagramSocket(EventLoop &loop);
    ~DatagramSocket() override;

    void setHandler(IDatagramHandler *handler) override { m_handler = handler; }
    Ret listen(const Endpoint &endpoint) override;
    Ret send(const Endpoint &to, const std::string &payload) override;

private:
    void waitForInput();
    void onReadable();
    /// False when nothing more waits.
    bool receiveOne();

    boost::asio::ip::udp::socket m_socket;
    IDatagramHandler *m_handler = nullptr;
    /// One byte more than a payload may have: a longer one is recognised by filling it.
    std::array<char, MAX_PAYLOAD_BYTES + 1> m_buffer{};
    /// Ends what an event does that comes after the destruction.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace ivyspar
