#include "plantainpitch/wire/message_codec.h"

#include "plantainpitch/model/error.h"
#include "plantainpitch/wire/frame_limits.h"

#include "sample_values.h"

#include <boost/test/unit_test.hpp>

using namespace plantainpitch;
using namespace plantainpitch::wire;

namespace {

bool isProtocolError(const error &e)
{
    return e.kind() == error_kind::protocol_error;
}

} // namespace

// Guards against a field that is lost or swapped when a message is encoded and decoded.
BOOST_AUTO_TEST_CASE(everyMessageSurvivesARoundTrip)
{
    const auto messages = test::sampleMessages();
    BOOST_TEST(messages.size() == std::variant_size_v<message>);
    for (std::size_t i = 0; i < messages.size(); ++i) {
        BOOST_TEST(messages[i].index() == i);
        BOOST_TEST((decodeFrame(encodeFrame(messages[i])) == messages[i]), "message " << i);
    }
}

// Guards against a crash or a wrong message when a frame is truncated or corrupted in transit.
BOOST_AUTO_TEST_CASE(damagedFramesAreProtocolErrors)
{
    for (const message &content : test::sampleMessages()) {
        const std::string frame = encodeFrame(content);
        for (std::size_t length = 0; length < frame.size(); ++length) {
            BOOST_CHECK_EXCEPTION(decodeFrame(std::string_view(frame).substr(0, length)), error,
                                  isProtocolError);
        }
        for (std::size_t bit = 0; bit < frame.size() * 8; ++bit) {
            std::string damaged = frame;
            damaged[bit / 8] = static_cast<char>(damaged[bit / 8] ^ (1 << (bit % 8)));
            BOOST_CHECK_EXCEPTION(decodeFrame(damaged), error, isProtocolError);
        }
    }
}

// Guards against sending a frame that the peer rejects, and against accepting one above the limit.
BOOST_AUTO_TEST_CASE(oversizedFramesAreRefusedOnBothSides)
{
    BOOST_CHECK_EXCEPTION(decodeFrame(std::string(maxFrameBytes + 1, 'x')), error, isProtocolError);
    dispatch large;
    large.request.body.assign(maxFrameBytes, 'x');
    BOOST_CHECK_EXCEPTION(encodeFrame(large), error,
                          [](const error &e) { return e.kind() == error_kind::too_large; });
    large.request.body.resize(maxBodyBytes);
    BOOST_CHECK_NO_THROW(encodeFrame(large));
}
