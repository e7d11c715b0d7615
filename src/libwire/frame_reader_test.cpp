#include "plantainpitch/wire/frame_reader.h"

#include "plantainpitch/model/error.h"
#include "plantainpitch/wire/frame_limits.h"

#include <boost/test/unit_test.hpp>

using namespace plantainpitch;
using namespace plantainpitch::wire;

// Guards against frames that are lost or merged when the stream is split at an arbitrary byte.
BOOST_AUTO_TEST_CASE(framesAreFoundAtEverySplit)
{
    const std::string stream = framePrefix(3) + "abc" + framePrefix(1) + "d";
    for (std::size_t split = 0; split <= stream.size(); ++split) {
        frame_reader reader;
        std::vector<std::string> frames;
        for (const auto &part : { stream.substr(0, split), stream.substr(split) }) {
            reader.append(part);
            while (auto frame = reader.next())
                frames.push_back(*frame);
        }
        BOOST_TEST((frames == std::vector<std::string>{ "abc", "d" }));
        BOOST_TEST(reader.pendingBytes() == 0U);
    }
}

// Guards against waiting or allocating memory for a frame whose length prefix is out of range.
BOOST_AUTO_TEST_CASE(outOfRangeLengthsAreProtocolErrors)
{
    for (const std::size_t length :
         { std::size_t{ 0 }, maxFrameBytes + 1, std::size_t{ 0xFFFF'FFFF } }) {
        frame_reader reader;
        reader.append(framePrefix(length));
        BOOST_CHECK_EXCEPTION(reader.next(), error, [](const error &e) {
            return e.kind() == error_kind::protocol_error;
        });
    }
}
