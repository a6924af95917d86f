// Result<T>: a value or an Error, based on Boost.Outcome. Access to the side that is not set
// terminates the process.
#pragma once

#include "include/base/Error.h"

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/try.hpp>

namespace onyx {

template <class T>
using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::terminate>;

}  // namespace onyx
