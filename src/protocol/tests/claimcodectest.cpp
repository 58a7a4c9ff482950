#include "protocol/internal/claimcodec.h"

#include "state/internal/seededrandom.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;

namespace {

ClaimBatch makeBatch()
{
    ClaimBatch batch;
    batch.daemon = DaemonId("cassa-2");
    batch.incarnation = Incarnation(1'700'000'000'000'000);
    batch.horizon = LogOffset(41);
    const std::string bytes("\xff key");
    batch.entries.push_back({ ClaimKind::Claim, RuleName("payments"), IdempotencyKey(bytes), 7 });
    batch.entries.push_back({ ClaimKind::Release, RuleName("payments"), IdempotencyKey("b"), 6 });
    return batch;
}

} // namespace

TEST_GROUP(ClaimCodec){};

TEST(ClaimCodec, BatchRoundTrips)
{
    const std::string bytes = encodeClaims(makeBatch());
    const auto decoded = decodeClaims(bytes);
    CHECK(decoded.has_value());
    CHECK(encodeClaims(*decoded) == bytes);
    CHECK(decoded->horizon == LogOffset(41) && decoded->daemon == DaemonId("cassa-2"));
    CHECK(decoded->entries[1].kind == ClaimKind::Release && decoded->entries[1].nonce == 6);
    CHECK(decoded->entries[0].key == makeBatch().entries[0].key);
}

TEST(ClaimCodec, MalformedBytesAreRejectedWithoutCrash)
{
    SeededRandom random(1);
    for (int i = 0; i < 20000; ++i) {
        std::string bytes = encodeClaims(makeBatch());
        bytes.resize(random.below(bytes.size() + 1));
        for (std::uint64_t flips = random.below(4); flips > 0 && !bytes.empty(); --flips) {
            bytes[random.below(bytes.size())] = static_cast<char>(random.next());
        }
        const auto decoded = decodeClaims(bytes);
        CHECK(decoded.has_value() || decoded.error().code == ErrorCode::InvalidArgument);
    }
}
