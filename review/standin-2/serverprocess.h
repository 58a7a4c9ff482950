#pragma once

#include <string>

#include "platform.h"

namespace review {

/// A server as a process of its own, so that it can crash as processes do.
class ServerProcess
{
public:
    ServerProcess(std::string service, Address app, Address control, std::string recordPath,
                  Record &record);
    ~ServerProcess();
    ServerProcess(const ServerProcess &) = delete;
    ServerProcess &operator=(const ServerProcess &) = delete;

    /// Starts a new lifetime with an id of its own.
    void start();
    /// Kills the process.
    void crash();
    /// To be called often: starts the server again some time after it has ended by itself. Returns
    /// whether it has ended since the last call.
    bool watch();

private:
    std::string m_service;
    Address m_app;
    Address m_control;
    std::string m_recordPath;
    Record &m_record;
    int m_lifetime = 0;
    int m_process = 0;
    std::int64_t m_restartAt = 0;
};

/// The body of the answer to a request, as the server sends it and its client knows it.
std::string wholeBody(const std::string &id);

/// A request to a path that contains this ends the server that begins to run it.
constexpr char DEADLY[] = "deadly";

/// The main function of the process: answers soundly, one in twenty without a length, which ends
/// with its connection.
int runServer(int argc, char **argv);

} // namespace review
