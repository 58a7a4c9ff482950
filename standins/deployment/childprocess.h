#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

#include "state/time.h"

namespace ivyspar::lab {

/// A process started by a test or demo. Ended by its id, at the latest by the destructor.
class ChildProcess
{
public:
    ChildProcess() = default;
    /// Standard output and error go to `outputFile`. Ends the program when the start fails.
    ChildProcess(const std::string &program, const std::vector<std::string> &arguments,
                 const std::string &outputFile);
    ~ChildProcess();

    ChildProcess(ChildProcess &&other) noexcept;
    ChildProcess &operator=(ChildProcess &&other) noexcept;
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    pid_t pid() const { return m_pid; }
    bool isRunning();
    void signal(int number) const;
    /// Waits for the end. Returns the exit code, 128 + the signal's number, or -1 after `timeout`.
    int wait(Duration timeout);
    /// SIGTERM, and SIGKILL after `timeout`. Returns as `wait` does.
    int stop(Duration timeout);

private:
    bool reap(bool isBlocking);

    pid_t m_pid = -1;
    bool m_isEnded = false;
    int m_status = 0;
};

/// Waits until the file exists and is complete (ends with a line end); its content, or nothing.
std::string waitForFile(const std::string &path, Duration timeout);

} // namespace ivyspar::lab
