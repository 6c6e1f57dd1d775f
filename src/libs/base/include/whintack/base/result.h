#ifndef WHINTACK_BASE_RESULT_H
#define WHINTACK_BASE_RESULT_H

#include <boost/outcome/result.hpp>

namespace whintack {

/// A value of type \p T, or an error of type \p E from the layer that failed.
template <typename T, typename E>
using Result =
    boost::outcome_v2::basic_result<T, E, boost::outcome_v2::policy::terminate>;

/// Wraps an error for return from a function that returns a Result.
template <typename E> auto failure(E &&Error) {
  return boost::outcome_v2::failure(std::forward<E>(Error));
}

/// Result of a successful function that has no value to return.
inline auto success() { return boost::outcome_v2::success(); }

} // namespace whintack

#endif // WHINTACK_BASE_RESULT_H
