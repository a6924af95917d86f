#include "modules/standalone/include/placement/LoadBound.h"

#include <algorithm>
#include <cmath>

namespace onyx {

namespace {

int Bounded(const BoundSettings& settings, double multiple, double meanInFlight) {
    // The epsilon keeps ceil(1.25 * 4) at 5 whatever the rounding of the product.
    constexpr double kRounding = 1e-9;
    const int bound = static_cast<int>(std::ceil(multiple * meanInFlight - kRounding));
    return std::min(settings.capacity, std::max(settings.floor, bound));
}

}  // namespace

int AllowedInFlight(const BoundSettings& settings, double meanInFlight) {
    return Bounded(settings, settings.multiple, meanInFlight);
}

int AdmittedInFlight(const BoundSettings& settings, double meanInFlight) {
    const double multiple = 1.0 + (settings.multiple - 1.0) * settings.headroom;
    return Bounded(settings, multiple, meanInFlight);
}

}  // namespace onyx
