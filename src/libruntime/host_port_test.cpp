#include "plantainpitch/runtime/host_port.h"

#include <boost/test/unit_test.hpp>

using namespace plantainpitch::runtime;

// Guards against an address list that is accepted and then fails at the first connection.
BOOST_AUTO_TEST_CASE(onlyAddressesWithPortsAreAccepted)
{
    BOOST_TEST((parseHostPort("10.0.0.5:7000") == host_port{ "10.0.0.5", 7000 }));
    BOOST_TEST((parseHostPort("[::1]:1") == host_port{ "::1", 1 }));
    for (const char *text : { "", "10.0.0.5", "10.0.0.5:", "10.0.0.5:0", "10.0.0.5:65536", "::1:80",
                              "[10.0.0.5]:80", "name:80", "10.0.0.5:80x", ":80" })
        BOOST_TEST(!parseHostPort(text), text);
    BOOST_TEST(parseHostPorts("10.0.0.5:1,[::1]:2")->size() == 2U);
    BOOST_TEST(parseHostPorts("")->empty());
    BOOST_TEST(!parseHostPorts("10.0.0.5:1,"));
}
