#include "standins/deployment/childprocess.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <thread>
#include <utility>

extern char **environ;

namespace ivyspar::lab {

namespace {

constexpr int SIGNAL_BASE = 128;
constexpr Duration POLL = std::chrono::milliseconds(2);
constexpr Duration STOP_TIMEOUT = std::chrono::seconds(5);

std::chrono::steady_clock::time_point deadlineAfter(Duration timeout)
{
    return std::chrono::steady_clock::now() + timeout;
}

} // namespace

ChildProcess::ChildProcess(const std::string &program, const std::vector<std::string> &arguments,
                           const std::string &outputFile)
{
    std::vector<std::string> words{ program };
    words.insert(words.end(), arguments.begin(), arguments.end());
    std::vector<char *> argv;
    argv.reserve(words.size() + 1);
    for (std::string &word : words) {
        argv.push_back(word.data());
    }
    argv.push_back(nullptr);

    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, outputFile.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // A starter that blocks its stop signals must not pass that on.
    posix_spawnattr_t attributes;
    posix_spawnattr_init(&attributes);
    sigset_t none;
    sigemptyset(&none);
    posix_spawnattr_setsigmask(&attributes, &none);
    posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
    const int error =
        posix_spawn(&m_pid, program.c_str(), &actions, &attributes, argv.data(), environ);
    posix_spawnattr_destroy(&attributes);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        std::fprintf(stderr, "cannot start %s: error %d\n", program.c_str(), error);
        std::exit(1);
    }
}

ChildProcess::~ChildProcess()
{
    if (m_pid > 0 && !m_isEnded) {
        stop(STOP_TIMEOUT);
    }
}

ChildProcess::ChildProcess(ChildProcess &&other) noexcept
    : m_pid(std::exchange(other.m_pid, -1))
    , m_isEnded(other.m_isEnded)
    , m_status(other.m_status)
{
}

ChildProcess &ChildProcess::operator=(ChildProcess &&other) noexcept
{
    if (this != &other) {
        if (m_pid > 0 && !m_isEnded) {
            stop(STOP_TIMEOUT);
        }
        m_pid = std::exchange(other.m_pid, -1);
        m_isEnded = other.m_isEnded;
        m_status = other.m_status;
    }
    return *this;
}

bool ChildProcess::isRunning()
{
    return m_pid > 0 && !reap(false);
}

void ChildProcess::signal(int number) const
{
    if (m_pid > 0 && !m_isEnded) {
        kill(m_pid, number);
    }
}

bool ChildProcess::reap(bool isBlocking)
{
    if (m_isEnded) {
        return true;
    }
    m_isEnded = waitpid(m_pid, &m_status, isBlocking ? 0 : WNOHANG) == m_pid;
    return m_isEnded;
}

int ChildProcess::wait(Duration timeout)
{
    if (m_pid <= 0) {
        return -1;
    }
    const auto deadline = deadlineAfter(timeout);
    while (!reap(false)) {
        if (std::chrono::steady_clock::now() >= deadline) {
            return -1;
        }
        std::this_thread::sleep_for(POLL);
    }
    return WIFEXITED(m_status) ? WEXITSTATUS(m_status) : SIGNAL_BASE + WTERMSIG(m_status);
}

int ChildProcess::stop(Duration timeout)
{
    if (m_pid <= 0) {
        return -1;
    }
    signal(SIGCONT);
    signal(SIGTERM);
    const int code = wait(timeout);
    if (code >= 0) {
        return code;
    }
    signal(SIGKILL);
    reap(true);
    return SIGNAL_BASE + SIGKILL;
}

std::string waitForFile(const std::string &path, Duration timeout)
{
    const auto deadline = deadlineAfter(timeout);
    while (std::chrono::steady_clock::now() < deadline) {
        std::ifstream file(path);
        std::stringstream content;
        content << file.rdbuf();
        std::string text = content.str();
        if (!text.empty() && text.back() == '\n') {
            return text;
        }
        std::this_thread::sleep_for(POLL);
    }
    return {};
}

} // namespace ivyspar::lab
