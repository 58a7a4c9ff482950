#pragma once

#include <list>

#include "standins/log/logcore.h"
#include "transport/ieventloop.h"
#include "transport/ihttpserver.h"
#include "transport/oneshot.h"

namespace ivyspar::lab {

/// The HTTP front of a `LogCore`:
/// - `POST /streams/{name}/records`: appends the body; 201 `{"offset":n}`.
/// - `GET /streams/{name}/records?from=N&max=M[&wait_ms=W]`: a page; with `wait_ms` it is held back
///   until there is a record.
/// - `POST /faults`: sets the faults named in the JSON body, see logfaultscodec.h.
/// - `GET /stats`: what was asked so far.
class LogServer
{
public:
    LogServer(IEventLoop &loop, LogCore &core);

    /// Runs in the connection's fiber.
    HttpResponse handle(IHttpExchange &exchange);
    /// Requests that are being worked on. The server must outlive them.
    std::size_t activeCount() const { return m_active; }

private:
    HttpResponse append(IHttpExchange &exchange, const StreamName &stream);
    HttpResponse read(IHttpExchange &exchange, const StreamName &stream, const std::string &query);
    HttpResponse setFaults(const std::string &body);
    HttpResponse statistics() const;
    /// As a lost answer looks to the client: nothing until it gives up.
    HttpResponse stayAway(IHttpExchange &exchange);
    /// False when the client gave up.
    bool waitForAppend(IHttpExchange &exchange, Duration timeout);
    HttpResponse route(IHttpExchange &exchange);
    void wakeReaders();

    IEventLoop &m_loop;
    LogCore &m_core;
    std::list<OneShot<bool> *> m_waiting;
    std::size_t m_active = 0;
};

} // namespace ivyspar::lab
