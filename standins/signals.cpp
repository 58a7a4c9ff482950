#include "standins/signals.h"

#include <pthread.h>

#include <csignal>

namespace ivyspar::lab {

namespace {

sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

void blockStopSignals()
{
    const sigset_t signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void waitForStopSignal()
{
    const sigset_t signals = stopSignals();
    int number = 0;
    sigwait(&signals, &number);
}

void stopWaiting(std::thread &waiter)
{
    // Reaches only that thread; a no-op when it has returned already but was not joined.
    pthread_kill(waiter.native_handle(), SIGTERM);
    waiter.join();
}

} // namespace ivyspar::lab
