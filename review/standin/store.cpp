#include <chrono>
#include <condition_variable>
#include <cstdlib>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "commands.h"
#include "http.h"

namespace review {

namespace {

struct Record
{
    std::string key;
    std::string value;
};

std::string bigEndian(std::uint64_t value, int bytes)
{
    std::string text;
    for (int i = bytes - 1; i >= 0; --i) {
        text += static_cast<char>((value >> (8U * static_cast<unsigned>(i))) & 255U);
    }
    return text;
}

std::size_t lengthAt(const std::string &bytes, std::size_t at)
{
    std::size_t length = 0;
    for (std::size_t i = 0; i < 4; ++i) {
        length = (length << 8U) | static_cast<unsigned char>(bytes[at + i]);
    }
    return length;
}

std::string encode(const Record &record)
{
    const std::string content = bigEndian(record.key.size(), 1) + record.key + record.value;
    return bigEndian(content.size(), 4) + content;
}

std::string parameter(const std::string &target, const std::string &name)
{
    const auto at = target.find(name + '=');
    if (at == std::string::npos) {
        return {};
    }
    const auto start = at + name.size() + 1;
    return target.substr(start, target.find('&', start) - start);
}

std::string respond(const std::string &type, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: " + type
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

class Store
{
public:
    std::string answer(const Message &request)
    {
        const std::string target = request.word(1);
        const std::string topic = parameter(target, "topic");
        if (target == "/operator") {
            return append("keyed.op", encode({ "config", request.body }));
        }
        if (target.rfind("/api/log-append", 0) == 0) {
            return append(topic, request.body);
        }
        if (target.rfind("/api/log-newest", 0) == 0) {
            return newest(topic);
        }
        if (target.rfind("/api/log-read", 0) == 0) {
            return read(topic, std::strtoull(parameter(target, "from").c_str(), nullptr, 10),
                        std::atoi(parameter(target, "wait_ms").c_str()));
        }
        return "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
    }

private:
    std::string append(const std::string &topic, const std::string &bytes)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        auto &records = m_topics[topic];
        const std::size_t first = records.size();
        std::size_t at = 0;
        while (at + 4 < bytes.size()) {
            const std::size_t length = lengthAt(bytes, at);
            const std::string content = bytes.substr(at + 4, length);
            const auto keySize = static_cast<unsigned char>(content.empty() ? 0 : content[0]);
            records.push_back({ content.substr(1, keySize), content.substr(1U + keySize) });
            at += 4 + length;
        }
        m_changed.notify_all();
        return respond("application/json",
                       "{\"offset\":" + std::to_string(first)
                           + ",\"end_offset\":" + std::to_string(records.size()) + '}');
    }

    std::string newest(const std::string &topic)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const auto &records = m_topics[topic];
        std::map<std::string, std::size_t> last;
        for (std::size_t i = 0; i < records.size(); ++i) {
            last[records[i].key] = i;
        }
        std::string items;
        for (const auto &[key, offset] : last) {
            items += (items.empty() ? "{\"key\":\"" : ",{\"key\":\"") + key + "\",\"value\":\""
                + encodeBase64(records[offset].value) + "\",\"offset\":" + std::to_string(offset)
                + '}';
        }
        return respond("application/json",
                       "{\"items\":[" + items + "],\"has_more\":false,\"end_offset\":"
                           + std::to_string(records.size()) + '}');
    }

    std::string read(const std::string &topic, std::size_t from, int waitMs)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        m_changed.wait_for(lock, std::chrono::milliseconds(waitMs),
                           [&] { return m_topics[topic].size() > from; });
        const auto &records = m_topics[topic];
        std::string body = bigEndian(records.size(), 8) + bigEndian(0, 8);
        for (std::size_t i = from; i < records.size(); ++i) {
            body += encode(records[i]);
        }
        return respond("application/octet-stream", body);
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::vector<Record>> m_topics;
};

} // namespace

int runStore(const Flags &flags)
{
    const int listener = openListener(flags.text("listen"));
    if (listener < 0) {
        return 2;
    }
    const auto store = std::make_shared<Store>();
    while (true) {
        const int socket = acceptOn(listener);
        if (socket < 0) {
            return 2;
        }
        std::thread([store, socket] {
            Connection connection(socket);
            Message request;
            while (connection.read(request) && connection.write(store->answer(request))) { }
        }).detach();
    }
}

} // namespace review
