#include "plantainpitch/policy/declared_size.h"

namespace plantainpitch {

void declared_size::onFinished(const std::string &templateName, std::int64_t runTimeMs)
{
    (void)templateName;
    (void)runTimeMs;
}

void declared_size::onUsage(const std::string &templateName, const resources &used)
{
    (void)templateName;
    (void)used;
}

std::int64_t declared_size::runTimeMs(const std::string &templateName,
                                      std::int64_t declaredMs) const
{
    (void)templateName;
    return declaredMs;
}

resources declared_size::size(const std::string &templateName, const resources &declared) const
{
    (void)templateName;
    return declared;
}

} // namespace plantainpitch
