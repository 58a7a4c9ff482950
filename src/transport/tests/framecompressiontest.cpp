#include "transport/internal/framecompression.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace ivyspar;

namespace {

constexpr std::size_t MAX_BYTES = 1024 * 1024;

std::string makeFrame(int number)
{
    return "X-Request-Name: value of the usual length, Host: shop.example, number: "
        + std::to_string(number);
}

} // namespace

TEST_GROUP(FrameCompression)
{
    FrameDeflater m_deflater;
    FrameInflater m_inflater;
};

TEST(FrameCompression, FramesRoundTripInOrder)
{
    const bool isHeld = rc::check([](const std::vector<std::string> &frames) {
        FrameDeflater deflater;
        FrameInflater inflater;
        for (const std::string &frame : frames) {
            const auto back = inflater.inflate(deflater.deflate(frame), MAX_BYTES);
            RC_ASSERT(back.has_value());
            RC_ASSERT(*back == frame);
        }
    });
    CHECK(isHeld);
}

TEST(FrameCompression, LargeAndEmptyFramesRoundTrip)
{
    for (const std::size_t size : { 0, 1, 4095, 4096, 4097, 300000, 0, 3 }) {
        const std::string frame(size, 'x');
        const auto back = m_inflater.inflate(m_deflater.deflate(frame), MAX_BYTES);
        CHECK(back.has_value());
        CHECK(*back == frame);
    }
}

TEST(FrameCompression, RepeatedNamesCompressWell)
{
    m_deflater.deflate(makeFrame(1));
    const std::string frame = makeFrame(2);
    CHECK(m_deflater.deflate(frame).size() * 4 < frame.size());
}

// A peer sends a few bytes that decompress to megabytes (a decompression bomb). Decompression stops
// at the size limit of uncompressed frames.
TEST(FrameCompression, FrameExpandingBeyondLimitIsRejected)
{
    const std::string small = m_deflater.deflate(std::string(10 * MAX_BYTES, 'x'));
    CHECK(small.size() < MAX_BYTES / 10);
    CHECK_FALSE(m_inflater.inflate(small, MAX_BYTES).has_value());
}

TEST(FrameCompression, InvalidDeflateDataIsRejected)
{
    CHECK_FALSE(m_inflater.inflate(std::string(100, '\xff'), MAX_BYTES).has_value());
}
