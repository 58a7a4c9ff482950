#pragma once

#include <memory>

#include "transport/idatagramsocket.h"
#include "transport/ieventloop.h"
#include "transport/ihttpclient.h"
#include "transport/ihttpserver.h"
#include "transport/ipeernetwork.h"

namespace ivyspar {

/// The loop binds to the thread that first calls `spawn`, `sleepFor` or `run`. Its fibers end
/// before the loop is destroyed and before that thread exits.
std::unique_ptr<IEventLoop> makeEventLoop();

// The following objects need a loop from `makeEventLoop` that outlives them. They are created, used
// and destroyed on its thread (or before `run` is called and after it has returned).
std::unique_ptr<IHttpServer> makeHttpServer(IEventLoop &loop);
std::unique_ptr<IHttpClient> makeHttpClient(IEventLoop &loop, const HttpClientLimits &limits);
std::unique_ptr<IPeerNetwork> makePeerNetwork(IEventLoop &loop);
std::unique_ptr<IDatagramSocket> makeDatagramSocket(IEventLoop &loop);

} // namespace ivyspar
