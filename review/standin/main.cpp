#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <unistd.h>

#include "commands.h"
#include "http.h"

namespace review {

Flags::Flags(int count, char **words)
{
    for (int i = 0; i < count; ++i) {
        const std::string word = words[i];
        const auto equals = word.find('=');
        if (word.rfind("--", 0) == 0 && equals != std::string::npos) {
            m_values[word.substr(2, equals - 2)] = word.substr(equals + 1);
        }
    }
}

std::string Flags::text(const std::string &name, const std::string &fallback) const
{
    const auto found = m_values.find(name);
    return found == m_values.end() ? fallback : found->second;
}

double Flags::number(const std::string &name, double fallback) const
{
    const auto found = m_values.find(name);
    return found == m_values.end() ? fallback : std::atof(found->second.c_str());
}

namespace {

/// Succeeds if the endpoint can be listened on.
int probe(const Flags &flags)
{
    const int listener = openListener(flags.text("listen"));
    if (listener < 0) {
        return 1;
    }
    ::close(listener);
    return 0;
}

/// Sends one request and prints the status and the body of the response.
int call(const Flags &flags)
{
    constexpr int TIMEOUT_MS = 2000;
    const int socket = connectTo(flags.text("to"), TIMEOUT_MS);
    if (socket < 0) {
        return 1;
    }
    Connection connection(socket);
    const std::string body = flags.text("body");
    Message response;
    connection.write(flags.text("method", "GET") + ' ' + flags.text("path")
                     + " HTTP/1.1\r\nHost: " + flags.text("to")
                     + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    if (!connection.read(response, TIMEOUT_MS)) {
        return 1;
    }
    std::printf("%s\n%s\n", response.word(1).c_str(), response.body.c_str());
    return response.word(1) == "200" ? 0 : 1;
}

} // namespace

} // namespace review

int main(int count, char **words)
{
    constexpr int USAGE = 2;
    std::signal(SIGPIPE, SIG_IGN);
    const std::string command = count > 1 ? words[1] : "";
    const review::Flags flags(count, words);
    if (command == "store") {
        return review::runStore(flags);
    }
    if (command == "server") {
        return review::runServer(flags);
    }
    if (command == "clients") {
        return review::runClients(flags);
    }
    if (command == "probe") {
        return review::probe(flags);
    }
    if (command == "call") {
        return review::call(flags);
    }
    std::fprintf(stderr, "usage: standin store|server|clients|probe|call --name=value ...\n");
    return USAGE;
}
