#define BOOST_TEST_MODULE plantainpitch
#include <boost/test/unit_test.hpp>
