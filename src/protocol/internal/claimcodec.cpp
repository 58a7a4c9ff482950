#include "protocol/internal/claimcodec.h"

#include <utility>

#include "protocol/internal/fieldcodec.h"

namespace ivyspar {

namespace {

constexpr std::uint64_t CLAIM_FORMAT = 1;

void readEntries(FieldReader &reader, std::vector<ClaimEntry> &entries)
{
    while (reader.isGood() && !reader.isAtEnd()) {
        ClaimEntry entry;
        reader.read(entry.kind, ClaimKind::Release);
        reader.read(entry.rule);
        reader.read(entry.key);
        reader.read(entry.nonce);
        entries.push_back(std::move(entry));
    }
}

} // namespace

std::string encodeClaims(const ClaimBatch &batch)
{
    FieldWriter writer;
    writer.add(CLAIM_FORMAT).add(batch.daemon).add(batch.incarnation).add(batch.horizon);
    for (const ClaimEntry &entry : batch.entries) {
        writer.add(std::uint64_t(entry.kind)).add(entry.rule).add(entry.key).add(entry.nonce);
    }
    return writer.take().bytes;
}

RetVal<ClaimBatch> decodeClaims(const std::string &bytes)
{
    auto fields = FieldReader::open(bytes);
    if (!fields) {
        return makeError(ErrorCode::InvalidArgument, "the record is not a CBOR array");
    }
    FieldReader &reader = *fields;
    std::uint64_t format = 0;
    ClaimBatch batch;
    reader.read(format);
    reader.read(batch.daemon);
    reader.read(batch.incarnation);
    reader.read(batch.horizon);
    readEntries(reader, batch.entries);
    if (!reader.isGood() || format != CLAIM_FORMAT) {
        return makeError(ErrorCode::InvalidArgument,
                         "a field of the claim record is missing or malformed");
    }
    return batch;
}

} // namespace ivyspar
