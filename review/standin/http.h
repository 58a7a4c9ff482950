#pragma once

#include <map>
#include <mutex>
#include <string>

namespace review {

/// A request or a response; `start` is its first line. Names of headers are in lower case.
struct Message
{
    std::string start;
    std::map<std::string, std::string> headers;
    std::string body;

    std::string header(const std::string &name) const;
    /// The word of the first line at this place, from 0 on.
    std::string word(int place) const;
};

/// A blocking connection. One thread reads; any thread may write whole messages.
class Connection
{
public:
    explicit Connection(int socket);
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;
    ~Connection();

    /// False if the connection ended or failed before a whole message was read, or if `timeoutMs`
    /// passed; 0: no time limit.
    bool read(Message &message, int timeoutMs = 0);
    bool write(const std::string &bytes);
    /// Whether bytes, or the end, wait to be read.
    bool hasInput() const;

private:
    bool readMore();

    int m_socket;
    std::string m_input;
    std::mutex m_writing;
};

/// `ADDRESS:PORT`; -1 on failure.
int openListener(const std::string &endpoint);
int acceptOn(int listener);
int connectTo(const std::string &endpoint, int timeoutMs);

std::string encodeBase64(const std::string &bytes);
/// Seconds since the epoch.
double now();
/// Appends one line to the file, with the time before it.
void record(const std::string &file, const std::string &line);

} // namespace review
