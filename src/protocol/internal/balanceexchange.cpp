#include "protocol/balanceexchange.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "protocol/internal/fieldcodec.h"

namespace ivyspar {

namespace {

/// First field of each message; distinguishes the exchanges that share a link.
constexpr char EXCHANGE[] = "balance";
/// Limits on the content of a message.
constexpr std::size_t MAX_ITEMS = 1024;
constexpr std::size_t MAX_NAME_BYTES = 256;
constexpr std::uint64_t MAX_AGE_MILLIS = 3600 * 1000;
constexpr double MICROS_PER_SECOND = 1e6;
/// Amounts are encoded as logarithms, which fit into two bytes.
constexpr double SMALLEST_AMOUNT = 1e-4;
constexpr double LOGARITHM_STEP = 0.01;
constexpr std::uint64_t LARGEST_LOGARITHM = 4000;

enum class MessageKind : std::uint8_t { Report = 1, News };

std::uint64_t encodeAmount(double amount)
{
    if (!(amount > SMALLEST_AMOUNT)) {
        return 0;
    }
    const double steps = std::round(std::log(amount / SMALLEST_AMOUNT) / LOGARITHM_STEP);
    return static_cast<std::uint64_t>(
        std::clamp(steps, 1.0, static_cast<double>(LARGEST_LOGARITHM)));
}

void readAmount(FieldReader &reader, double &amount)
{
    std::uint64_t logarithm = 0;
    reader.read(logarithm);
    if (logarithm > LARGEST_LOGARITHM) {
        reader.fail();
    }
    amount = logarithm == 0
        ? 0
        : SMALLEST_AMOUNT * std::exp(LOGARITHM_STEP * static_cast<double>(logarithm));
}

template <typename Name> void readName(FieldReader &reader, Name &name)
{
    reader.read(name);
    if (name.value().size() > MAX_NAME_BYTES) {
        reader.fail();
    }
}

FieldWriter startMessage(MessageKind kind, std::uint32_t round)
{
    FieldWriter writer;
    writer.add(std::string(EXCHANGE)).add(std::uint64_t(kind)).add(std::uint64_t(round));
    return writer;
}

std::string encodeOne(const BalanceReport &report)
{
    FieldWriter writer = startMessage(MessageKind::Report, report.round);
    writer.add(std::uint64_t(report.reporters));
    for (const ReportedWork &each : report.services) {
        const double seconds = static_cast<double>(each.workPerCall.count()) / MICROS_PER_SECOND;
        FieldWriter fields;
        fields.add(each.service)
            .add(encodeAmount(each.calls))
            .add(encodeAmount(seconds))
            .add(encodeAmount(each.capacity));
        writer.add(fields.take());
    }
    return writer.take().bytes;
}

PackedFields writeDomains(const std::vector<DomainSum> &domains)
{
    FieldWriter writer;
    for (const DomainSum &each : domains) {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(each.age).count();
        writer.add(each.domain).add(std::uint64_t(std::max<decltype(age)>(age, 0)));
    }
    return writer.take();
}

/// Domains are encoded by their positions in `domains`.
PackedFields writeService(const ServiceSums &service, const std::vector<DomainSum> &domains)
{
    FieldWriter writer;
    writer.add(service.service);
    for (const DomainWork &each : service.domains) {
        const auto found =
            std::find_if(domains.begin(), domains.end(),
                         [&each](const DomainSum &sum) { return sum.domain == each.domain; });
        const std::uint64_t demand = encodeAmount(each.demand);
        const std::uint64_t capacity = encodeAmount(each.capacity);
        if (found != domains.end() && demand + capacity > 0) {
            writer.add(std::uint64_t(found - domains.begin())).add(demand).add(capacity);
        }
    }
    return writer.take();
}

std::string encodeOne(const BalanceNews &news)
{
    FieldWriter writer = startMessage(MessageKind::News, news.round);
    writer.add(news.origin).add(news.originDomain).add(writeDomains(news.domains));
    for (const ServiceSums &each : news.services) {
        writer.add(writeService(each, news.domains));
    }
    return writer.take().bytes;
}

ReportedWork readReported(FieldReader &reader)
{
    ReportedWork work;
    double seconds = 0;
    readName(reader, work.service);
    readAmount(reader, work.calls);
    readAmount(reader, seconds);
    readAmount(reader, work.capacity);
    const double micros = std::min(seconds * MICROS_PER_SECOND, 1e12);
    work.workPerCall = Duration(std::llround(micros));
    return work;
}

BalanceReport readReport(FieldReader &reader)
{
    BalanceReport report;
    reader.read(report.round);
    reader.read(report.reporters);
    while (reader.isGood() && !reader.isAtEnd()) {
        FieldReader fields = reader.readArray();
        report.services.push_back(readReported(fields));
        if (!fields.isGood() || report.services.size() > MAX_ITEMS) {
            reader.fail();
        }
    }
    return report;
}

std::vector<DomainSum> readDomains(FieldReader reader, bool &isGood)
{
    std::vector<DomainSum> domains;
    while (reader.isGood() && !reader.isAtEnd() && domains.size() <= MAX_ITEMS) {
        std::uint64_t age = 0;
        DomainSum sum;
        readName(reader, sum.domain);
        reader.read(age);
        sum.age = std::chrono::milliseconds(std::min(age, MAX_AGE_MILLIS));
        domains.push_back(std::move(sum));
    }
    isGood = reader.isGood() && domains.size() <= MAX_ITEMS;
    return domains;
}

ServiceSums readService(FieldReader &reader, const std::vector<DomainSum> &domains)
{
    ServiceSums sums;
    readName(reader, sums.service);
    while (reader.isGood() && !reader.isAtEnd()) {
        std::uint64_t domain = 0;
        DomainWork work;
        reader.read(domain);
        readAmount(reader, work.demand);
        readAmount(reader, work.capacity);
        if (domain >= domains.size() || sums.domains.size() >= domains.size()) {
            reader.fail();
            return sums;
        }
        work.domain = domains[domain].domain;
        sums.domains.push_back(std::move(work));
    }
    return sums;
}

BalanceNews readNews(FieldReader &reader)
{
    BalanceNews news;
    reader.read(news.round);
    readName(reader, news.origin);
    readName(reader, news.originDomain);
    bool isGood = false;
    news.domains = readDomains(reader.readArray(), isGood);
    if (!isGood) {
        reader.fail();
    }
    while (reader.isGood() && !reader.isAtEnd()) {
        FieldReader fields = reader.readArray();
        news.services.push_back(readService(fields, news.domains));
        if (!fields.isGood() || news.services.size() > MAX_ITEMS) {
            reader.fail();
        }
    }
    return news;
}

bool isThisExchange(FieldReader &reader)
{
    std::string exchange;
    reader.read(exchange);
    return reader.isGood() && exchange == EXCHANGE;
}

} // namespace

std::string encodeBalanceMessage(const BalanceMessage &message)
{
    return std::visit([](const auto &each) { return encodeOne(each); }, message);
}

bool isBalanceMessage(const std::string &payload)
{
    auto fields = FieldReader::open(payload);
    return fields && isThisExchange(*fields);
}

RetVal<BalanceMessage> decodeBalanceMessage(const std::string &payload)
{
    auto fields = FieldReader::open(payload);
    if (!fields || !isThisExchange(*fields)) {
        return makeError(ErrorCode::NotFound, "control message belongs to another exchange");
    }
    FieldReader &reader = *fields;
    MessageKind kind = MessageKind::Report;
    reader.read(kind, MessageKind::News);
    const BalanceMessage message = kind == MessageKind::Report ? BalanceMessage(readReport(reader))
                                                               : BalanceMessage(readNews(reader));
    if (!reader.isGood()) {
        return makeError(ErrorCode::InvalidArgument, "malformed balance message");
    }
    return message;
}

} // namespace ivyspar
