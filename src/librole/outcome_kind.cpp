#include "plantainpitch/role/outcome_kind.h"

namespace plantainpitch {

const char *toString(outcome_kind kind)
{
    switch (kind) {
    case outcome_kind::answered:
        return "answered";
    case outcome_kind::not_run:
        return "not-run";
    case outcome_kind::unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace plantainpitch
