#include "serverprocess.h"

#include <array>
#include <csignal>
#include <cstdlib>

#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr int SLOTS = 92;
constexpr std::size_t PIECES = 20;
constexpr std::size_t PIECE_BYTES = 2000;
constexpr int PIECE_MS = 75;
/// One answer in this many has no length.
constexpr std::uint64_t UNFRAMED_ONE_IN = 20;
constexpr int WORK_MS = 400;
/// How long a server that has ended by itself is away.
constexpr int DOWN_MS = 2000;

Address parseAddress(const std::string &text)
{
    const std::size_t colon = text.find(':');
    return { text.substr(0, colon),
             static_cast<std::uint16_t>(std::atoi(text.c_str() + colon + 1)) };
}

bool isUnframed(const std::string &id)
{
    return std::strtoull(id.c_str(), nullptr, 16) % UNFRAMED_ONE_IN == 0;
}

/// Sends the answer in pieces, without a length, and ends the connection in good order.
bool answerUnframed(const ServerRequest &request)
{
    const std::string body = wholeBody(request.id);
    bool isSent = request.socket.send("HTTP/1.1 200 OK\r\nX-Ivyspar-Attempt-Id: " + request.id
                                      + "\r\nX-Ivyspar-Response-Stamp: stamp-" + request.id
                                      + "\r\nConnection: close\r\n\r\n");
    for (std::size_t at = 0; isSent && at < body.size(); at += PIECE_BYTES) {
        isSent = request.socket.send(body.substr(at, PIECE_BYTES));
        sleepMs(PIECE_MS);
    }
    return false;
}

} // namespace

ServerProcess::ServerProcess(std::string service, Address app, Address control,
                             std::string recordPath, Record &record)
    : m_service(std::move(service))
    , m_app(std::move(app))
    , m_control(std::move(control))
    , m_recordPath(std::move(recordPath))
    , m_record(record)
{
}

ServerProcess::~ServerProcess()
{
    crash();
}

void ServerProcess::start()
{
    std::string instance = m_service + '-' + m_app.ip + '-' + std::to_string(++m_lifetime);
    std::string app = m_app.text();
    std::string control = m_control.text();
    std::string verb = "server";
    std::string program = "/proc/self/exe";
    std::array<char *, 8> words{ program.data(),      verb.data(), instance.data(),
                                 m_service.data(),    app.data(),  control.data(),
                                 m_recordPath.data(), nullptr };
    m_record.write("server " + instance + " starts");
    const int child = ::fork();
    if (child == 0) {
        ::execv(program.c_str(), words.data());
        ::_exit(127);
    }
    m_process = child;
}

void ServerProcess::crash()
{
    if (m_process > 0) {
        m_record.write("server at " + m_app.text() + " crashes");
        ::kill(m_process, SIGKILL);
        ::waitpid(m_process, nullptr, 0);
        m_process = 0;
    }
}

bool ServerProcess::watch()
{
    if (m_process > 0 && ::waitpid(m_process, nullptr, WNOHANG) == m_process) {
        m_process = 0;
        m_restartAt = nowMs() + DOWN_MS;
        m_record.write("server at " + m_app.text() + " has crashed");
        return true;
    }
    if (m_process == 0 && m_restartAt > 0 && nowMs() >= m_restartAt) {
        m_restartAt = 0;
        start();
    }
    return false;
}

std::string wholeBody(const std::string &id)
{
    std::string body;
    while (body.size() < PIECES * PIECE_BYTES) {
        body += id + ' ';
    }
    body.resize(PIECES * PIECE_BYTES);
    return body;
}

int runServer(int argc, char **argv)
{
    constexpr int WORDS = 7;
    if (argc < WORDS) {
        return 2;
    }
    Record record(argv[6], true);
    Server server(argv[2], argv[3], parseAddress(argv[4]), parseAddress(argv[5]), SLOTS, record);
    const auto answer = [&server, &record](ServerRequest &request) {
        if (request.message.target.find(DEADLY) != std::string::npos) {
            std::_Exit(1);
        }
        if (isUnframed(request.id)) {
            record.write("server: answers id " + request.id + " without a length");
            return answerUnframed(request);
        }
        sleepMs(WORK_MS);
        return request.socket.send(server.answer(request, wholeBody(request.id)));
    };
    if (!server.start(answer)) {
        return 2;
    }
    while (::getppid() != 1) {
        sleepMs(100);
    }
    std::_Exit(0);
}

} // namespace review
