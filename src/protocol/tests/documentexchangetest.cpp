#include "protocol/documentexchange.h"
#include "protocol/internal/fieldcodec.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using std::chrono::milliseconds;

namespace {

DocumentOffer roundTrip(const DocumentOffer &offer)
{
    const auto read = decodeDocumentMessage(encodeDocumentMessage(offer));
    CHECK(read.has_value());
    return std::get<DocumentOffer>(*read);
}

} // namespace

TEST_GROUP(DocumentExchange){};

TEST(DocumentExchange, OfferKeepsVersionAndAge)
{
    const DocumentOffer offer = roundTrip({ ConfigurationVersion(7), milliseconds(120) });
    CHECK(offer.version == ConfigurationVersion(7));
    CHECK(offer.age == milliseconds(120));
    CHECK_FALSE(roundTrip({ ConfigurationVersion(7), {} }).age.has_value());
    CHECK(roundTrip({ ConfigurationVersion(7), milliseconds(-5) }).age == Duration::zero());
}

TEST(DocumentExchange, MalformedAgeMakesOfferInvalid)
{
    FieldWriter writer;
    writer.add(std::string("document")).add(std::uint64_t(1)).add(std::uint64_t(7));
    writer.add(std::string("soon"));
    const auto read = decodeDocumentMessage(writer.take().bytes);
    CHECK_FALSE(read.has_value());
    CHECK(read.error().code == ErrorCode::InvalidArgument);
}

TEST(DocumentExchange, AgeBeyondDurationRangeStaysLarge)
{
    FieldWriter writer;
    writer.add(std::string("document")).add(std::uint64_t(1)).add(std::uint64_t(7));
    writer.add(~std::uint64_t(0));
    const auto read = decodeDocumentMessage(writer.take().bytes);
    CHECK(read.has_value());
    CHECK(std::get<DocumentOffer>(*read).age > std::chrono::hours(24));
}
