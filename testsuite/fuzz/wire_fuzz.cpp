// Guards against bytes from the network or the log that crash a process, make it use memory
// without limit, or decode to something that encodes differently.

#include "plantainpitch/model/error.h"
#include "plantainpitch/wire/batch_codec.h"
#include "plantainpitch/wire/frame_limits.h"
#include "plantainpitch/wire/frame_reader.h"
#include "plantainpitch/wire/message_codec.h"

#include "sample_values.h"

#include <boost/crc.hpp>
#include <boost/endian/conversion.hpp>

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <iostream>

using namespace plantainpitch;
using namespace plantainpitch::wire;

extern "C" std::size_t LLVMFuzzerMutate(std::uint8_t *data, std::size_t size, std::size_t maxSize);

namespace {

constexpr std::size_t headerBytes = 8;

[[noreturn]] void fail(const char *problem)
{
    std::cerr << problem << '\n';
    std::abort();
}

/// Adds a valid version and checksum, which random changes would hardly ever meet.
std::string wrap(const std::string &payload)
{
    boost::crc_32_type crc;
    crc.process_bytes(payload.data(), payload.size());
    std::string data(headerBytes, '\0');
    auto *header = reinterpret_cast<unsigned char *>(data.data());
    boost::endian::store_little_u32(header, formatVersion);
    boost::endian::store_little_u32(header + 4, crc.checksum());
    return data + payload;
}

/// Calls \a decode and returns false if it reports a protocol error.
template <typename Decode>
bool accepted(Decode decode)
{
    try {
        decode();
        return true;
    } catch (const error &e) {
        if (e.kind() != error_kind::protocol_error)
            fail("an error of another kind than protocol_error");
        return false;
    }
}

void fuzzFrame(const std::string &frame)
{
    message content;
    if (accepted([&] { content = decodeFrame(frame); })
        && decodeFrame(encodeFrame(content)) != content)
        fail("a decoded message does not survive a round trip");
}

void fuzzBatch(const std::string &blob)
{
    record_batch batch;
    if (accepted([&] { batch = decodeBatch(blob); }) && decodeBatch(encodeBatch(batch)) != batch)
        fail("a decoded batch does not survive a round trip");
}

/// Feeds the bytes in pieces and as a whole; both must give the same frames.
void fuzzReader(const std::string &stream, std::size_t piece)
{
    const auto framesOf = [&stream](std::size_t step) {
        frame_reader reader;
        std::vector<std::string> frames;
        accepted([&] {
            for (std::size_t i = 0; i < stream.size(); i += step) {
                reader.append(std::string_view(stream).substr(i, step));
                while (auto frame = reader.next())
                    frames.push_back(std::move(*frame));
            }
        });
        return frames;
    };
    if (framesOf(piece) != framesOf(stream.size()))
        fail("the frames depend on how the stream is cut");
}

const std::vector<std::string> &samplePayloads()
{
    static const std::vector<std::string> samples = [] {
        std::vector<std::string> payloads;
        for (const message &content : test::sampleMessages())
            payloads.push_back(encodeFrame(content).substr(headerBytes));
        for (const log_record &record : test::sampleRecords())
            payloads.push_back(encodeBatch({ 1, 1, { record } }).substr(headerBytes));
        return payloads;
    }();
    return samples;
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string input(reinterpret_cast<const char *>(data), size);
    fuzzFrame(input);
    fuzzBatch(input);
    fuzzFrame(wrap(input));
    fuzzBatch(wrap(input));
    if (!input.empty()) {
        fuzzReader(input, 1 + data[0] % 7);
        fuzzReader(framePrefix(input.size()) + input + input, 1 + data[0] % 7);
    }
    return 0;
}

/// Starts every eighth mutation from an encoded sample instead of the corpus.
extern "C" std::size_t LLVMFuzzerCustomMutator(std::uint8_t *data, std::size_t size,
                                               std::size_t maxSize, unsigned seed)
{
    if (size == 0 || seed % 8 == 0) {
        const auto &samples = samplePayloads();
        const std::string &sample = samples[seed / 8 % samples.size()];
        size = std::min(sample.size(), maxSize);
        std::memcpy(data, sample.data(), size);
    }
    return LLVMFuzzerMutate(data, size, maxSize);
}
