#include "plantainpitch/model/error.h"

#include <boost/test/unit_test.hpp>

using namespace plantainpitch;

// Guards against an error message that loses the remedy on its way to the operator.
BOOST_AUTO_TEST_CASE(errorMessageNamesProblemAndRemedy)
{
    const error e(error_kind::revision_conflict, "base revision 3 is old", "use revision 5");
    BOOST_TEST(std::string(e.what()) == "base revision 3 is old; use revision 5");
    BOOST_TEST(toString(e.kind()) == std::string("revision_conflict"));
}
