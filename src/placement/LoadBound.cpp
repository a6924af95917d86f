#include "include/placement/LoadBound.h"

#include <algorithm>
#include <cmath>

namespace onyx {

int AllowedInFlight(const BoundSettings& settings, double meanInFlight) {
    // The epsilon keeps ceil(1.25 * 4) at 5 whatever the rounding of the product.
    constexpr double kRounding = 1e-9;
    const int bound = static_cast<int>(std::ceil(settings.multiple * meanInFlight - kRounding));
    return std::min(settings.capacity, std::max(settings.floor, bound));
}

}  // namespace onyx
