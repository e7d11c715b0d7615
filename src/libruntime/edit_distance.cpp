#include "edit_distance.h"

#include <algorithm>
#include <numeric>
#include <vector>

namespace plantainpitch::runtime::detail {

std::size_t editDistance(std::string_view a, std::string_view b)
{
    std::vector<std::size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), 0U);
    for (std::size_t i = 1; i <= a.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= b.size(); ++j) {
            const std::size_t replaced = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({ row[j] + 1, row[j - 1] + 1, replaced });
        }
    }
    return row[b.size()];
}

} // namespace plantainpitch::runtime::detail
