#include "protocol/balanceexchange.h"

#include "coordination/balance/tests/mocks/domainfleet.h"
#include "protocol/accountexchange.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using namespace std::chrono_literals;

namespace {

const DomainName EAST("sala-est");
const DomainName NORTH("sala-nord");
const ServiceName SERVICE("magazzino");

/// What a daemon may send in a second, in the mean of all and as the summing one.
constexpr double MOST_BYTES_PER_SECOND = 2048;
constexpr double MOST_BY_ONE_DAEMON = 11 * 1024;
/// What the summing daemon of a domain may receive in a second.
constexpr double MOST_AT_ONE_DAEMON = 32 * 1024;
/// A longer message does not fit into a datagram with its envelope.
constexpr std::size_t MOST_PAYLOAD_BYTES = 1100;

BalanceNews someNews()
{
    BalanceNews news;
    news.round = 7;
    news.origin = DaemonId("est-1");
    news.originDomain = EAST;
    news.domains = { { EAST, 250ms }, { NORTH, 0ms } };
    news.services = { { SERVICE, { { EAST, 123.4, 0 }, { NORTH, 0.02, 80 } } } };
    return news;
}

/// Checks the balance messages of so many daemons in five domains, with twelve services.
void checkBytes(std::size_t daemons)
{
    constexpr std::size_t DOMAINS = 5;
    ModelOptions options;
    options.payloadBytes = [](const BalanceMessage &message) {
        return encodeBalanceMessage(message).size();
    };
    options.otherServices = 11;
    std::vector<ModelDomain> domains;
    for (std::size_t i = 0; i < DOMAINS; ++i) {
        const std::size_t hosts = daemons / DOMAINS + (i < daemons % DOMAINS ? 1 : 0);
        domains.push_back(
            { DomainName("reparto-" + std::to_string(i)), hosts, 8, static_cast<double>(hosts) });
    }
    DomainFleet fleet(domains, options);
    fleet.run(10s);
    CHECK_COMPARE(fleet.meanBytesPerSecond(), <=, MOST_BYTES_PER_SECOND);
    CHECK_COMPARE(fleet.highestBytesPerSecond(), <=, MOST_BY_ONE_DAEMON);
    CHECK_COMPARE(fleet.highestBytesReceivedPerSecond(), <=, MOST_AT_ONE_DAEMON);
    CHECK_COMPARE(fleet.largestPayload(), <=, MOST_PAYLOAD_BYTES);
}

} // namespace

TEST_GROUP(BalanceExchange){};

TEST(BalanceExchange, ReportIsReadAsWritten)
{
    const BalanceReport report{ 3, 1, { { SERVICE, 12.5, 50ms, 8 } } };
    const auto read = decodeBalanceMessage(encodeBalanceMessage(report));
    CHECK(read.has_value());
    const auto &service = std::get<BalanceReport>(*read).services.at(0);
    LONGS_EQUAL(3, std::get<BalanceReport>(*read).round);
    CHECK(SERVICE == service.service);
    DOUBLES_EQUAL(12.5, service.calls, 0.1);
    DOUBLES_EQUAL(0.05, toSeconds(service.workPerCall), 0.001);
    DOUBLES_EQUAL(8, service.capacity, 0.08);
}

TEST(BalanceExchange, NewsIsReadAsWritten)
{
    const auto read = decodeBalanceMessage(encodeBalanceMessage(someNews()));
    CHECK(read.has_value());
    const auto &news = std::get<BalanceNews>(*read);
    CHECK(DaemonId("est-1") == news.origin);
    CHECK(news.domains.at(0).age == 250ms);
    const auto &domains = news.services.at(0).domains;
    CHECK(NORTH == domains.at(1).domain);
    DOUBLES_EQUAL(0, domains.at(0).capacity, 0);
    DOUBLES_EQUAL(123.4, domains.at(0).demand, 1);
}

// Guards against a daemon that takes a damaged message for news.
TEST(BalanceExchange, TruncatedAndForeignMessagesAreRejected)
{
    const std::string whole = encodeBalanceMessage(someNews());
    for (std::size_t size = 0; size < whole.size(); ++size) {
        CHECK_FALSE(decodeBalanceMessage(whole.substr(0, size)));
    }
    CHECK_FALSE(isAccountMessage(whole));
    CHECK_FALSE(isBalanceMessage(encodeAccountMessage(TokenRequest{})));
}

TEST(BalanceExchange, DaemonsSendLittleWhateverTheirNumber)
{
    checkBytes(83);
    checkBytes(300);
    checkBytes(790);
}
