#include "standins/signals.h"

#include <pthread.h>

#include <csignal>

namespace ivyspar::lab {

namespace {

/// Ends a wait from inside the process.
constexpr int WAKE_UP = SIGUSR1;

sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, WAKE_UP);
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
    // Reaches only that thread, and is blocked in it: it has no effect but on a wait.
    pthread_kill(waiter.native_handle(), WAKE_UP);
    waiter.join();
}

} // namespace ivyspar::lab
