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
    /// False when no more datagrams are pending.
    bool receiveOne();

    EventLoop &m_loop;
    boost::asio::ip::udp::socket m_socket;
    IDatagramHandler *m_handler = nullptr;
    /// One byte larger than the maximum payload: an oversized datagram fills it completely.
    std::array<char, MAX_PAYLOAD_BYTES + 1> m_buffer{};
    /// Lets callbacks that run after the destruction do nothing.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace ivyspar
