#include <array>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "deployment.h"
#include "serverprocess.h"

// The cases of this review that can't be put as days of the bench. Usage: cases NUMBER RECORD

namespace review {

namespace {

constexpr int SLOTS = 92;
constexpr int CONNECTIONS = 652;
/// More lost requests than this break the rule LOST.
constexpr std::size_t LOST_BOUND = 3;
/// The time until all machines know all servers.
constexpr int SETTLE_MS = 4000;
constexpr std::size_t MEGABYTE = 1000 * 1000;
/// The bound `contact` of the settings.
constexpr int CONTACT_MS = 3000;
/// The time after which processes that were killed are back and their machines in touch again.
constexpr int RESTARTED_MS = 8000;

const Route READ{ "read", "read.example", "/read/", "safe", "beta", 5000, 2 };
const Route BOOK{ "book", "book.example", "/book/", "unsafe", "alpha", 5000, 2 };
/// Four kinds of bookings.
const std::array<Route, 4> BOOKINGS{
    Route{ "book-1", "book1.example", "/book/", "unsafe", "alpha", 5000, 2 },
    Route{ "book-2", "book2.example", "/book/", "unsafe", "alpha", 5000, 2 },
    Route{ "book-3", "book3.example", "/book/", "unsafe", "alpha", 5000, 2 },
    Route{ "book-4", "book4.example", "/book/", "unsafe", "alpha", 5000, 2 },
};
const Route PAY{ "pay", "pay.example", "/pay/", "unsafe", "beta", 5000, 2 };

std::string manifest()
{
    return makeManifest(7, { READ, BOOK, BOOKINGS[0], BOOKINGS[1], BOOKINGS[2], BOOKINGS[3] },
                        { "alpha", "beta" }, CONNECTIONS);
}

/// A sound server that works for a while and answers.
Server::OnRequest soundServer(Machine *&machine, Ledger &ledger, int workMs, std::size_t bytes)
{
    return [&machine, &ledger, workMs, bytes](ServerRequest &request) {
        ledger.run(request.id);
        sleepMs(workMs);
        return request.socket.send(machine->server->answer(request, std::string(bytes, 'a')));
    };
}

/// Two machines beside servers of `alpha` and two beside servers of `beta`, in two zones.
struct Four
{
    explicit Four(Record &record)
        : deployment(daemonProgram(), record)
    {
    }

    bool start(const Server::OnRequest &firstAlpha, int workMs, std::size_t bytes,
               const Server::OnRequest &secondAlpha = {})
    {
        if (!deployment.startStore(manifest())) {
            return false;
        }
        const auto sound = [&](std::size_t i) {
            return soundServer(machines[i], ledger, workMs, bytes);
        };
        machines[0] = deployment.add("alpha", "zone-a", SLOTS, firstAlpha ? firstAlpha : sound(0));
        machines[1] =
            deployment.add("alpha", "zone-b", SLOTS, secondAlpha ? secondAlpha : sound(1));
        machines[2] = deployment.add("beta", "zone-a", SLOTS, sound(2));
        machines[3] = deployment.add("beta", "zone-b", SLOTS, sound(3));
        for (const Machine *machine : machines) {
            if (machine == nullptr) {
                return false;
            }
        }
        const bool isReady = deployment.waitReady();
        sleepMs(SETTLE_MS);
        deployment.startWatch();
        return isReady;
    }

    /// The rule LOST; and whether the clients were served at all.
    int verdict() const
    {
        const std::size_t lost = ledger.mostLost();
        int ends = 0;
        for (const Machine *machine : machines) {
            ends += machine->daemon->ends();
        }
        const std::string text = "verdict: " + std::to_string(ledger.answers(200))
            + " answers of 200; most requests of one machine that a sound server ran and whose "
              "kept connections ended without an answer: "
            + std::to_string(lost) + " (bound " + std::to_string(LOST_BOUND)
            + "); processes that ended by themselves: " + std::to_string(ends);
        deployment.record().write(text);
        std::puts(text.c_str());
        if (ledger.answers(200) == 0) {
            return EXIT_NOT_RUN;
        }
        return lost > LOST_BOUND ? EXIT_BROKEN : EXIT_HELD;
    }

    Ledger ledger;
    std::array<Machine *, 4> machines{};
    mutable Deployment deployment;
};

/// Kept until the process ends, as threads of the stand-ins use it.
Four &makeFour(Record &record)
{
    static std::unique_ptr<Four> four;
    four = std::make_unique<Four>(record);
    return *four;
}

/// Case 5: one client sends a body within the operator's limit.
int sendLargeBody(Record &record)
{
    constexpr std::size_t LARGE = 60 * MEGABYTE;
    constexpr std::size_t SMALL = MEGABYTE / 10;
    constexpr int WORK_MS = 300;
    Four &four = makeFour(record);
    if (!four.start({}, WORK_MS, 1000)) {
        return EXIT_NOT_RUN;
    }
    Daemon &daemon = *four.machines[2]->daemon;
    const std::int64_t end = nowMs() + 25'000;
    KeptClients clients;
    clients.add(20, daemon, READ, end, four.ledger, record);
    sleepMs(8000);
    const std::string body(hasTrouble() ? LARGE : SMALL, 'b');
    for (int i = 0; i < 3; ++i) {
        const std::string id = makeId();
        Socket socket = connectTo(daemon.outbound(), 1000);
        std::string buffer;
        record.write("client large: sends id " + id + ", " + std::to_string(body.size())
                     + " bytes, at " + daemon.plan().name);
        const ClientResult result = ask(socket, buffer,
                                        formatRequest("POST", BOOK.prefix + "1",
                                                      { { "Host", BOOK.host },
                                                        { "X-Ivyspar-Attempt-Id", id },
                                                        { "X-Ivyspar-Deadline-Ms", "5000" } },
                                                      body),
                                        10'000);
        record.write("client large: id " + id + ", " + toText(result.read) + ", status "
                     + std::to_string(result.answer.status));
        sleepMs(5000);
    }
    clients.join();
    const int verdict = four.verdict();
    four.deployment.stop();
    return verdict;
}

/// Sends a body without end, at `bytesPerMs`, until the caller closes.
void sendWithoutEnd(const Socket &socket, const std::string &id, std::size_t bytesPerMs)
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-Ivyspar-Attempt-Id: " + id
        + "\r\nX-Ivyspar-Response-Stamp: stamp-" + id + "\r\n\r\n";
    const std::string piece(10 * bytesPerMs, '#');
    bool isOpen = socket.send(head);
    while (isOpen) {
        isOpen = socket.send(piece);
        sleepMs(10);
    }
}

/// Case 6: a server in trouble answers some requests with bytes without end.
int answerWithoutEnd(Record &record)
{
    constexpr int WORK_MS = 300;
    /// One answer in this many has no end.
    constexpr int ONE_IN = 20;
    constexpr std::size_t BYTES_PER_MS = 20'000;
    std::atomic<bool> isInTrouble{ false };
    std::atomic<int> count{ 0 };
    Four &four = makeFour(record);
    const auto troubled = [&](ServerRequest &request) {
        sleepMs(WORK_MS);
        if (isInTrouble && ++count % ONE_IN == 0) {
            record.write("server alpha-1: answers id " + request.id + " without end");
            sendWithoutEnd(request.socket, request.id, BYTES_PER_MS);
            return false;
        }
        return request.socket.send(
            four.machines[0]->server->answer(request, std::string(1000, 'a')));
    };
    if (!four.start(troubled, WORK_MS, 1000)) {
        return EXIT_NOT_RUN;
    }
    const std::int64_t end = nowMs() + 40'000;
    KeptClients clients;
    for (const Machine *machine : four.machines) {
        clients.add(10, *machine->daemon, BOOK, end, four.ledger, record);
        clients.add(10, *machine->daemon, READ, end, four.ledger, record);
    }
    sleepMs(12'000);
    isInTrouble = hasTrouble();
    sleepMs(20'000);
    isInTrouble = false;
    clients.join();
    const int verdict = four.verdict();
    four.deployment.stop();
    return verdict;
}

/// Sends one request after the other and counts the successes whose body isn't whole.
void checkBodies(Daemon &daemon, const std::string &name, std::int64_t until, Ledger &ledger,
                 std::atomic<int> &broken, Record &record)
{
    while (nowMs() < until) {
        const std::string id = makeId();
        Socket socket = connectTo(daemon.outbound(), 1000);
        std::string buffer;
        const ClientResult result = ask(socket, buffer,
                                        formatRequest("POST", PAY.prefix + name,
                                                      { { "Host", PAY.host },
                                                        { "X-Ivyspar-Attempt-Id", id },
                                                        { "X-Ivyspar-Deadline-Ms", "5000" } },
                                                      "one"),
                                        10'000);
        const Message &answer = result.answer;
        const bool isSuccess = result.read == ReadResult::Whole && answer.status == 200;
        ledger.answered(result.read == ReadResult::Whole ? answer.status : 0);
        if (!isSuccess) {
            sleepMs(100);
            continue;
        }
        if (answer.body != wholeBody(id)) {
            ++broken;
            record.write(concat({ "client ", name, " at ", daemon.plan().name, ": id ", id,
                                  ", status 200, stamp ", answer.header("x-ivyspar-response-stamp"),
                                  ", Content-Length ", answer.header("content-length"),
                                  ", but the server's body has ",
                                  std::to_string(wholeBody(id).size()), " bytes" }));
        }
    }
}

/// Case 4: a server crashes while it sends answers that have no length.
int crashWhileAnswering(Record &record, const std::string &recordPath)
{
    constexpr int CRASHES = 3;
    /// One of seven is less than the share of servers that may crash at once, 0.15.
    constexpr int SERVERS = 7;
    constexpr int CLIENTS = 200;
    Deployment deployment(daemonProgram(), record);
    const std::string manifest = makeManifest(7, { PAY }, { "beta" }, CONNECTIONS);
    bool isGood = deployment.startStore(manifest);
    for (int i = 0; i < SERVERS; ++i) {
        const char *zone = i % 2 == 0 ? "zone-a" : "zone-b";
        isGood = deployment.add("beta", zone, SLOTS, {}) != nullptr && isGood;
    }
    if (!isGood || !deployment.waitReady()) {
        return EXIT_NOT_RUN;
    }
    std::vector<std::unique_ptr<ServerProcess>> servers;
    for (const auto &machine : deployment.machines()) {
        const Daemon &daemon = *machine->daemon;
        servers.push_back(std::make_unique<ServerProcess>("beta", daemon.plan().app,
                                                          daemon.control(), recordPath, record));
        servers.back()->start();
    }
    sleepMs(SETTLE_MS);
    std::atomic<int> broken{ 0 };
    Ledger ledger;
    const std::int64_t end = nowMs() + 35'000;
    std::vector<std::thread> clients;
    clients.reserve(CLIENTS);
    for (int i = 0; i < CLIENTS; ++i) {
        clients.emplace_back([&, i] {
            Daemon &daemon = *deployment.machines()[i % deployment.machines().size()]->daemon;
            checkBodies(daemon, std::to_string(i), end, ledger, broken, record);
        });
    }
    sleepMs(12'000);
    for (int i = 0; i < CRASHES && hasTrouble(); ++i) {
        servers[0]->crash();
        sleepMs(3000);
        servers[0]->start();
        sleepMs(3000);
    }
    for (std::thread &client : clients) {
        client.join();
    }
    servers.clear();
    deployment.stop();
    const std::string text = "verdict: " + std::to_string(ledger.answers(200))
        + " answers of 200; of these with a body that isn't the server's whole body: "
        + std::to_string(broken) + " (bound 0)";
    record.write(text);
    std::puts(text.c_str());
    if (ledger.answers(200) == 0) {
        return EXIT_NOT_RUN;
    }
    return broken > 0 ? EXIT_BROKEN : EXIT_HELD;
}

/// Sends bookings with a body of moderate size, one after the other, whose answers are large.
void bookLarge(Daemon &daemon, const Route &route, const std::string &name, std::size_t bodyBytes,
               std::int64_t until, Record &record)
{
    while (nowMs() < until) {
        const std::string id = makeId();
        Socket socket = connectTo(daemon.outbound(), 1000);
        std::string buffer;
        const ClientResult result = ask(socket, buffer,
                                        formatRequest("POST", route.prefix + name,
                                                      { { "Host", route.host },
                                                        { "X-Ivyspar-Attempt-Id", id },
                                                        { "X-Ivyspar-Deadline-Ms", "1000" } },
                                                      std::string(bodyBytes, 'b')),
                                        10'000);
        record.write(concat({ "client ", name, ": id ", id, ", ", toText(result.read), ", status ",
                              std::to_string(result.answer.status), ", ",
                              std::to_string(result.answer.body.size()), " bytes, daemon has ",
                              std::to_string(daemon.memoryMb()), " MB" }));
        sleepMs(result.read == ReadResult::Whole ? 50 : 500);
    }
}

/// Case 7: a server's answers are larger than what a link between daemons takes.
int answerLarge(Record &record)
{
    constexpr int WORK_MS = 300;
    constexpr std::size_t BODY = 1900 * 1000;
    constexpr std::size_t LARGE = 3 * MEGABYTE;
    constexpr std::size_t SMALL = MEGABYTE / 10;
    Four &four = makeFour(record);
    const std::size_t answerBytes = hasTrouble() ? LARGE : SMALL;
    const auto answer = [&record, answerBytes](Machine *&machine) {
        return [&record, &machine, answerBytes](ServerRequest &request) {
            sleepMs(50);
            const bool isSent = request.socket.send(
                machine->server->answer(request, std::string(answerBytes, 'a')));
            record.write("server " + machine->server->instance() + ": answered id " + request.id
                         + ", 200, " + std::to_string(answerBytes) + " bytes");
            return isSent;
        };
    };
    if (!four.start(answer(four.machines[0]), WORK_MS, 1000, answer(four.machines[1]))) {
        return EXIT_NOT_RUN;
    }
    Daemon &daemon = *four.machines[2]->daemon;
    const std::int64_t end = nowMs() + 90'000;
    KeptClients clients;
    clients.add(20, daemon, READ, end, four.ledger, record);
    sleepMs(5000);
    std::vector<std::thread> bookings;
    bookings.reserve(12);
    for (int i = 0; i < 12; ++i) {
        const std::string name = "large-" + std::to_string(i);
        const Route &route = BOOKINGS[i % BOOKINGS.size()];
        bookings.emplace_back(
            [&, name, route] { bookLarge(daemon, route, name, BODY, end, record); });
    }
    for (std::thread &each : bookings) {
        each.join();
    }
    clients.join();
    const int verdict = four.verdict();
    four.deployment.stop();
    return verdict;
}

/// A request that ends each server that begins to run it, and comes again and again.
class DeadlyRequest
{
public:
    explicit DeadlyRequest(Record &record)
        : m_record(record)
    {
    }

    /// Sends it at `daemon`, in a thread of its own.
    void send(Daemon &daemon)
    {
        const std::string id = makeId();
        m_sentAt[id] = nowMs();
        m_threads.emplace_back([this, &daemon, id] {
            Socket socket = connectTo(daemon.outbound(), 1000);
            std::string buffer;
            const ClientResult result = ask(socket, buffer,
                                            formatRequest("POST", PAY.prefix + DEADLY,
                                                          { { "Host", PAY.host },
                                                            { "X-Ivyspar-Attempt-Id", id },
                                                            { "X-Ivyspar-Deadline-Ms", "5000" } },
                                                          "one"),
                                            10'000);
            m_record.write(
                concat({ "client of the deadly request at ", daemon.plan().name, ": id ", id, ", ",
                         toText(result.read), ", status ", std::to_string(result.answer.status) }));
        });
    }

    void onCrash() { m_crashedAt.push_back(nowMs()); }
    std::size_t crashes() const { return m_crashedAt.size(); }

    /// How often it reached a server, sent later than `contact` after it had crashed the third.
    int lateRuns(const std::string &recordPath)
    {
        for (std::thread &thread : m_threads) {
            thread.join();
        }
        constexpr std::size_t THIRD = 2;
        if (m_crashedAt.size() <= THIRD) {
            return 0;
        }
        std::ifstream lines(recordPath);
        std::string line;
        int late = 0;
        while (std::getline(lines, line)) {
            const std::size_t at = line.find(" id ");
            if (line.find("runs POST " + PAY.prefix + DEADLY) == std::string::npos) {
                continue;
            }
            const auto sent = m_sentAt.find(line.substr(at + 4, 16));
            late += sent != m_sentAt.end() && sent->second > m_crashedAt[THIRD] + CONTACT_MS;
        }
        return late;
    }

private:
    Record &m_record;
    std::map<std::string, std::int64_t> m_sentAt;
    std::vector<std::int64_t> m_crashedAt;
    std::vector<std::thread> m_threads;
};

/// Case 8: all daemons are killed at once after a request has been found to crash servers.
int forgetQuarantine(Record &record, const std::string &recordPath)
{
    Deployment deployment(daemonProgram(), record);
    bool isGood = deployment.startStore(makeManifest(7, { PAY }, { "beta" }, CONNECTIONS));
    for (const char *zone : { "zone-a", "zone-b", "zone-a" }) {
        isGood = deployment.add("beta", zone, SLOTS, {}) != nullptr && isGood;
    }
    if (!isGood || !deployment.waitReady()) {
        return EXIT_NOT_RUN;
    }
    std::vector<std::unique_ptr<ServerProcess>> servers;
    for (const auto &machine : deployment.machines()) {
        const Daemon &daemon = *machine->daemon;
        servers.push_back(std::make_unique<ServerProcess>("beta", daemon.plan().app,
                                                          daemon.control(), recordPath, record));
        servers.back()->start();
    }
    deployment.startWatch();
    sleepMs(SETTLE_MS);
    DeadlyRequest deadly(record);
    const auto watchFor = [&](int millis) {
        for (const std::int64_t end = nowMs() + millis; nowMs() < end; sleepMs(10)) {
            for (const auto &server : servers) {
                if (server->watch()) {
                    deadly.onCrash();
                }
            }
        }
    };
    const auto come = [&](int times) {
        for (const auto &machine : deployment.machines()) {
            deadly.send(*machine->daemon);
        }
        for (int i = 0; i < times; ++i) {
            watchFor(5000);
            deadly.send(*deployment.machines()[i % 3]->daemon);
            deadly.send(*deployment.machines()[(i + 1) % 3]->daemon);
        }
        watchFor(5000);
    };
    Ledger ledger;
    KeptClients others;
    const std::int64_t end = nowMs() + 74'000;
    for (const auto &machine : deployment.machines()) {
        others.add(4, *machine->daemon, PAY, end, ledger, record);
    }
    watchFor(3000);
    come(5);
    record.write("the deadly request has crashed " + std::to_string(deadly.crashes())
                 + " servers so far");
    for (const auto &machine : deployment.machines()) {
        if (hasTrouble()) {
            record.write("platform: kills " + machine->daemon->plan().name);
            machine->daemon->signal(SIGKILL);
        }
    }
    watchFor(RESTARTED_MS);
    come(6);
    const int late = deadly.lateRuns(recordPath);
    others.join();
    servers.clear();
    deployment.stop();
    const std::string text = "verdict: the deadly request crashed "
        + std::to_string(deadly.crashes()) + " servers; sent over 3 s after the third, it reached "
        + std::to_string(late) + " (bound 3); other requests answered 200: "
        + std::to_string(ledger.answers(200)) + ", 502: " + std::to_string(ledger.answers(502));
    record.write(text);
    std::puts(text.c_str());
    constexpr int BOUND = 3;
    if (ledger.answers(200) == 0) {
        return EXIT_NOT_RUN;
    }
    return late > BOUND ? EXIT_BROKEN : EXIT_HELD;
}

int runCase(const std::string &number, Record &record, const std::string &recordPath)
{
    if (number == "4") {
        return crashWhileAnswering(record, recordPath);
    }
    if (number == "5") {
        return sendLargeBody(record);
    }
    if (number == "6") {
        return answerWithoutEnd(record);
    }
    if (number == "7") {
        return answerLarge(record);
    }
    if (number == "8") {
        return forgetQuarantine(record, recordPath);
    }
    return EXIT_NOT_RUN;
}

} // namespace

} // namespace review

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    if (argc > 1 && std::string(argv[1]) == "server") {
        return review::runServer(argc, argv);
    }
    if (argc < 3) {
        std::fputs("usage: cases NUMBER RECORD\n", stderr);
        return review::EXIT_NOT_RUN;
    }
    review::Record record(argv[2]);
    const int verdict = review::runCase(argv[1], record, argv[2]);
    std::fflush(nullptr);
    // Threads of stand-ins may still wait on their sockets.
    std::_Exit(verdict);
}
